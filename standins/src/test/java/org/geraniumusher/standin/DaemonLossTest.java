package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;

/**
 * Guards against keys that stay unserved, requests that run twice or are cut, and assignments that
 * are lost, when daemons are lost, leave, or are all restarted.
 */
class DaemonLossTest {
    /** Unavailable time after a loss, from the requirements. */
    private static final Duration MAX_GAP = Duration.ofSeconds(2);

    private static final ImmutableList<Integer> ALL = ImmutableList.of(0, 1, 2);

    private TestFleet mFleet;

    @BeforeEach
    void start() {
        mFleet = TestFleet.start(3, 3);
        mFleet.awaitSettled();
    }

    @AfterEach
    void stop() {
        mFleet.close();
    }

    @Test
    void close_coordinatorUnderLoad_othersServeEveryKeyWithinTwoSeconds() {
        int lost = mFleet.coordinator();
        ImmutableList<Integer> others = without(lost);
        Traffic traffic = Traffic.start(mFleet, others);
        try (traffic) {
            traffic.awaitMore(20);
            mFleet.daemon(lost).close();
            TestFleet.await(() -> mFleet.coordinator() != lost);
            others.forEach(i -> TestFleet.await(() -> !mFleet.sees(i, lost)));
            traffic.awaitMore(50);
        }
        assertWithMessage(traffic.toString()).that(traffic.gapsAbove(MAX_GAP)).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
        assertThat(traffic.falselyNotRun()).isEmpty();
        assertThat(failuresBut(traffic, "unknown")).isEmpty();
    }

    @Test
    void close_daemonWithCallers_noPostRunsTwice() {
        int lost = mFleet.coordinator();
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitMore(20);
            mFleet.daemon(lost).close();
            traffic.setDaemons(without(lost));
            without(lost).forEach(i -> TestFleet.await(() -> !mFleet.sees(i, lost)));
            traffic.awaitMore(50);
        }
        assertWithMessage(traffic.toString()).that(traffic.gapsAbove(MAX_GAP)).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
        assertThat(traffic.falselyNotRun()).isEmpty();
    }

    @Test
    void startDrain_coordinatorUnderLoad_noRequestIsCutOrRefused() {
        int leaving = mFleet.coordinator();
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitMore(20);
            mFleet.daemon(leaving).startDrain();
            traffic.awaitMore(10);
            traffic.setDaemons(without(leaving));
            TestFleet.await(() -> mFleet.daemon(leaving).stopped().isDone());
            TestFleet.await(() -> mFleet.coordinator() != leaving);
            traffic.awaitMore(20);
        }
        assertThat(traffic.failures()).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
    }

    @Test
    void restart_allDaemons_assignmentsStay() {
        ShardState before = mFleet.shard();
        ALL.forEach(i -> mFleet.daemon(i).close());
        ALL.forEach(mFleet::restartDaemon);
        TestFleet.await(() -> mFleet.shard().term() > before.term());
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitMore(20);
        }
        assertThat(owners(mFleet.shard())).isEqualTo(owners(before));
        assertThat(traffic.repeatedPosts()).isEmpty();
    }

    private static ImmutableList<Traffic.Failure> failuresBut(Traffic traffic, String outcome) {
        return traffic.failures().stream()
                .filter(failure -> !failure.outcome().equals(outcome))
                .collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<Integer> without(int daemon) {
        return ALL.stream().filter(i -> i != daemon).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<String> owners(ShardState state) {
        return state.slices().stream()
                .map(DaemonLossTest::ownerAndEpoch)
                .collect(ImmutableList.toImmutableList());
    }

    private static String ownerAndEpoch(Slice slice) {
        return slice.owner() + "@" + slice.epoch();
    }
}

package org.geraniumusher.standin;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.geraniumusher.standin.platform.PlatformServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;

/**
 * Guards against requests that fail while the platform is down or slow, moves that are made on a
 * guess, and assignments that are lost with the answer of a write.
 */
class PlatformOutageTest {
    private static final PlatformServer.Faults UP = new PlatformServer.Faults(false, 0, 0);
    private static final PlatformServer.Faults DOWN = new PlatformServer.Faults(true, 0, 0);
    private static final PlatformServer.Faults SLOW = new PlatformServer.Faults(false, 1_500, 0);
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
    void setFaults_down_requestsGoOnAndNothingMoves() {
        assertRequestsGoOn(DOWN);
    }

    @Test
    void setFaults_slow_requestsGoOnAndNothingMoves() {
        assertRequestsGoOn(SLOW);
    }

    @Test
    void setFaults_downAndCoordinatorLost_requestsGoOn() {
        int lost = mFleet.coordinator();
        ImmutableList<Integer> others =
                ALL.stream().filter(i -> i != lost).collect(ImmutableList.toImmutableList());
        Traffic traffic = Traffic.start(mFleet, others);
        try (traffic) {
            traffic.awaitMore(10);
            mFleet.platform().setFaults(DOWN);
            mFleet.daemon(lost).close();
            traffic.awaitSince(System.nanoTime(), Duration.ofSeconds(4));
            traffic.awaitMore(20);
        }
        assertWithMessage(traffic.toString()).that(traffic.gapsAbove(MAX_GAP)).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
    }

    @Test
    void setFaults_backendLostWhileDown_keysServedAfterTheOutage() {
        mFleet.platform().setFaults(DOWN);
        mFleet.stopBackend("register-0");
        ShardState before = mFleet.shard();
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            traffic.awaitSince(System.nanoTime(), Duration.ofSeconds(2));
            assertThat(mFleet.shard()).isEqualTo(before);
            mFleet.platform().setFaults(UP);
            TestFleet.await(() -> mFleet.slicesOf("register-0") == 0);
            traffic.awaitMore(10);
        }
        assertThat(traffic.falselyNotRun()).isEmpty();
    }

    @Test
    void setFaults_answersOfWritesLost_noAssignmentIsLost() {
        List<Slice> before = mFleet.shard().slices();
        mFleet.platform().setFaults(new PlatformServer.Faults(false, 0, 3));
        mFleet.stopBackend("register-0");
        TestFleet.await(() -> mFleet.slicesOf("register-0") == 0);
        mFleet.awaitSettled();
        List<Slice> after = mFleet.shard().slices();
        for (int i = 0; i < before.size(); i++) {
            assertThat(after.get(i).epoch()).isAtLeast(before.get(i).epoch());
            boolean moved = !after.get(i).owner().equals(before.get(i).owner());
            assertThat(moved).isEqualTo(before.get(i).owner().equals("register-0"));
        }
    }

    private void assertRequestsGoOn(PlatformServer.Faults faults) {
        ShardState before = mFleet.shard();
        Traffic traffic = Traffic.start(mFleet, ALL);
        try (traffic) {
            mFleet.platform().setFaults(faults);
            traffic.awaitSince(System.nanoTime(), Duration.ofSeconds(4));
        }
        assertWithMessage(traffic.toString()).that(traffic.failures()).isEmpty();
        assertThat(traffic.repeatedPosts()).isEmpty();
        assertThat(mFleet.shard()).isEqualTo(before);
    }
}

package org.geraniumusher.choice;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Guards against slow servers that keep their share, against too many servers that lose theirs at
 * once, and against marks that outlast the cause.
 */
class StragglerDetectorTest {
    private static final long MILLI = 1_000_000;

    private final List<String> mNames =
            IntStream.range(0, 12).mapToObj(i -> "s" + i).collect(ImmutableList.toImmutableList());
    private final StragglerDetector mDetector = StragglerDetector.create();
    private long mNow;
    private long mId;

    StragglerDetectorTest() {
        mDetector.setServers(mNames);
    }

    private void answer(String server, long millis) {
        mDetector.started(server, ++mId, mNow - millis * MILLI);
        mDetector.answered(server, mId, millis * MILLI, 0);
    }

    /** Runs for {@code millis} with an answer of each server every 20 ms. */
    private void run(long millis, Set<String> slow, long slowMillis) {
        for (long end = mNow + millis * MILLI; mNow < end; ) {
            mNow += 20 * MILLI;
            mNames.forEach(name -> answer(name, slow.contains(name) ? slowMillis : 6));
            mDetector.evaluate(mNow);
        }
    }

    private long stragglers() {
        return mNames.stream().filter(mDetector::isStraggler).count();
    }

    @Test
    void evaluate_twoTenTimesSlower_markedWithinFractionOfSecond() {
        run(400, Set.of(), 0);
        run(300, Set.of("s1", "s2"), 60);
        assertThat(mDetector.weight("s1")).isLessThan(0.2);
        assertThat(mDetector.weight("s2")).isLessThan(0.2);
        assertThat(mDetector.concurrencyLimit("s1", 6)).isEqualTo(3);
        assertThat(stragglers()).isEqualTo(2);
    }

    @Test
    void evaluate_noAnswersYet_ageOfPendingRequestsCounts() {
        run(400, Set.of(), 0);
        for (int i = 0; i < 9; i++) {
            mDetector.started("s1", ++mId, mNow);
        }
        mNow += 40 * MILLI;
        mDetector.evaluate(mNow);
        assertThat(mDetector.isStraggler("s1")).isTrue();
    }

    @Test
    void evaluate_halfSlow_atMostThirdMarkedSlowestFirst() {
        run(400, Set.of(), 0);
        answer("s0", 6);
        for (int i = 0; i < 12; i++) {
            mNow += 20 * MILLI;
            for (int s = 0; s < 12; s++) {
                answer("s" + s, s < 5 ? 40 + 10 * s : 6);
            }
            mDetector.evaluate(mNow);
        }
        assertThat(stragglers()).isEqualTo(4);
        assertThat(mDetector.isStraggler("s0")).isFalse();
    }

    @Test
    void evaluate_allSlow_noneMarked() {
        run(400, Set.of(), 0);
        run(400, Set.copyOf(mNames), 60);
        assertThat(stragglers()).isEqualTo(0);
    }

    @Test
    void evaluate_heavyTail_notMarked() {
        run(400, Set.of(), 0);
        for (int i = 0; i < 100; i++) {
            run(60, Set.of(), 0);
            run(20, Set.of("s" + i % 12), 80);
            assertThat(stragglers()).isEqualTo(0);
        }
    }

    @Test
    void evaluate_fastAgain_returnsAfterTwoAnswers() {
        run(400, Set.of(), 0);
        run(400, Set.of("s1"), 60);
        answer("s1", 6);
        answer("s1", 6);
        mDetector.evaluate(mNow);
        assertThat(mDetector.weight("s1")).isEqualTo(1);
    }

    @Test
    void cancelled_lateRequests_countWithTheirAge() {
        run(400, Set.of(), 0);
        for (int i = 0; i < 9; i++) {
            mDetector.started("s1", ++mId, mNow - 25 * MILLI);
            mDetector.cancelled("s1", mId, mNow);
        }
        mDetector.evaluate(mNow);
        assertThat(mDetector.isStraggler("s1")).isTrue();
    }

    @Test
    void evaluate_requestsWaitInQueue_notMarked() {
        run(400, Set.of(), 0);
        mDetector.started("s1", ++mId, mNow);
        mDetector.answered("s1", mId, 6 * MILLI, 20);
        for (int i = 0; i < 9; i++) {
            mDetector.started("s1", ++mId, mNow);
        }
        mNow += 40 * MILLI;
        mDetector.evaluate(mNow);
        assertThat(mDetector.isStraggler("s1")).isFalse();
    }

    @Test
    void refused_pendingRequest_doesNotCount() {
        run(400, Set.of(), 0);
        for (int i = 0; i < 9; i++) {
            mDetector.started("s1", ++mId, mNow);
            mDetector.refused("s1", mId);
        }
        mNow += 40 * MILLI;
        mDetector.evaluate(mNow);
        assertThat(mDetector.isStraggler("s1")).isFalse();
    }
}

package org.geraniumusher.model;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.SuspensionDetector.Disagreement;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/** Guards against time that a suspended machine does not count. */
final class SuspensionDetectorTest {
    private static final long MILLI = 1_000_000L;
    private static final long WALL = 1_700_000_000_000L;

    private final SuspensionDetector mDetector = SuspensionDetector.startingAt(0, WALL);

    @Test
    void observe_clocksAgree_isNoSuspension() {
        assertThat(mDetector.observe(3_000 * MILLI, WALL + 3_001)).isEmpty();

        assertThat(mDetector.resumedAtNanos()).isEqualTo(Long.MIN_VALUE);
    }

    @Test
    void observe_monotonicClockStoodStill_isSuspension() {
        assertThat(mDetector.observe(MILLI, WALL + 6_001))
                .isEqualTo(Optional.of(new Disagreement(MILLI, 6_001 * MILLI)));

        assertThat(mDetector.resumedAtNanos()).isEqualTo(MILLI);
    }

    /** Different rates of the clocks must not add up to a suspension. */
    @Test
    void observe_wallClockRunsFast_isNoSuspension() {
        for (int second = 1; second <= 1_000; second++) {
            assertThat(mDetector.observe(second * 1_000 * MILLI, WALL + second * 1_001L)).isEmpty();
        }
    }

    /** A suspension must be detected also after the wall clock was stepped back. */
    @Test
    void observe_suspensionAfterStepBack_isSuspension() {
        Disagreement back = mDetector.observe(1_000 * MILLI, WALL - 1_000).orElseThrow();
        assertThat(back.isSuspension()).isFalse();
        assertThat(mDetector.resumedAtNanos()).isEqualTo(Long.MIN_VALUE);

        mDetector.observe(1_100 * MILLI, WALL + 1_600);
        assertThat(mDetector.resumedAtNanos()).isEqualTo(1_100 * MILLI);
    }
}

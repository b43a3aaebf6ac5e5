package org.geraniumusher.admission;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.admission.SlowStart.Cause;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.time.Duration;

/** Guards against a cold server that gets the load of a warm one, for each way to become cold. */
class SlowStartTest {
    private static final long MILLI = 1_000_000;
    private static final long SECOND = 1_000 * MILLI;

    private long mNow;
    private final SlowStart mStart =
            SlowStart.create(WarmUp.BY_WORK, 6, 2, Duration.ofSeconds(10), 0);

    private void work(int running, long nanos) {
        mStart.advance(running, mNow);
        mNow += nanos;
        mStart.advance(running, mNow);
    }

    private void answers(int count, long latencyMillis) {
        for (int i = 0; i < count; i++) {
            mNow += 5 * MILLI;
            mStart.advance(2, mNow);
            mStart.recordLatency(latencyMillis * MILLI, mNow);
        }
    }

    private void warmUp() {
        work(6, 12 * SECOND);
        assertThat(mStart.isWarm()).isTrue();
    }

    @Test
    void advance_firstUse_growsWithWork() {
        assertThat(mStart.usableSlots()).isEqualTo(2);
        work(2, 5 * SECOND);
        assertThat(mStart.usableSlots()).isEqualTo(3);
        work(2, 1 * SECOND);
        assertThat(mStart.usableSlots()).isEqualTo(4);
        work(2, 6 * SECOND);
        assertThat(mStart.usableSlots()).isEqualTo(6);
    }

    @Test
    void advance_idle_staysCold() {
        work(0, 60 * SECOND);
        assertThat(mStart.usableSlots()).isEqualTo(2);
    }

    @ParameterizedTest
    @EnumSource(Cause.class)
    void cool_warm_startsOver(Cause cause) {
        warmUp();
        mStart.cool(cause);
        assertThat(mStart.usableSlots()).isEqualTo(2);
        assertThat(mStart.cause()).isEqualTo(cause);
    }

    @Test
    void recordReset_twoWithinSecond_cold() {
        warmUp();
        mStart.recordReset(mNow);
        mStart.recordReset(mNow + 2 * SECOND);
        assertThat(mStart.isWarm()).isTrue();
        mStart.recordReset(mNow + 2 * SECOND + MILLI);
        assertThat(mStart.usableSlots()).isEqualTo(2);
        assertThat(mStart.cause()).isEqualTo(Cause.CONNECTION_RESETS);
    }

    @Test
    void recordLatency_sustainedStep_cold() {
        warmUp();
        answers(100, 6);
        answers(100, 20);
        assertThat(mStart.usableSlots()).isEqualTo(2);
        assertThat(mStart.cause()).isEqualTo(Cause.LATENCY_STEP);
    }

    @Test
    void recordLatency_heavyTail_staysWarm() {
        warmUp();
        for (int i = 0; i < 200; i++) {
            answers(9, 6);
            answers(1, 60);
        }
        assertThat(mStart.isWarm()).isTrue();
    }

    @Test
    void recordLatency_slowMomentEnds_returnsWithinSeconds() {
        warmUp();
        answers(100, 6);
        answers(300, 60);
        answers(300, 6);
        assertThat(mStart.isWarm()).isTrue();
    }

    @Test
    void recordLatency_coldServerRecoversUnderLessLoad_warmsUpSlowly() {
        warmUp();
        answers(100, 6);
        for (int i = 0; i < 1_000 && mStart.isWarm(); i++) {
            answers(1, 20);
        }
        answers(300, 6);
        assertThat(mStart.usableSlots()).isEqualTo(2);
    }

    @Test
    void takeOverWarm_firstSecond_coldSlotsOnly() {
        mStart.takeOverWarm(mNow);
        assertThat(mStart.usableSlots()).isEqualTo(2);
        work(1, SECOND);
        assertThat(mStart.usableSlots()).isEqualTo(6);
    }
}

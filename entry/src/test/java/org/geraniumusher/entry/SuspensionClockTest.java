package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Guards against a suspension that neither the daemon nor its operators notice. */
final class SuspensionClockTest {
    private static final long MILLI = 1_000_000L;

    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final DecisionLog mLog =
            DecisionLog.start(() -> 0, () -> 0, new PrintStream(mLines, true));
    private long mMonotonicNanos;
    private long mWallMillis = 1_700_000_000_000L;

    /** Time for which the thread is preempted after its next reading of the monotonic clock. */
    private long mPreemptionMillis;

    private final SuspensionClock mClock =
            SuspensionClock.create(this::readMonotonicClock, () -> mWallMillis, mLog);

    private long readMonotonicClock() {
        long nanos = mMonotonicNanos;
        mMonotonicNanos += mPreemptionMillis * MILLI;
        mWallMillis += mPreemptionMillis;
        mPreemptionMillis = 0;
        return nanos;
    }

    private String logged() {
        mLog.close();
        return mLines.toString(StandardCharsets.UTF_8);
    }

    @Test
    void getAsLong_machineWasSuspended_isDetectedAndLogged() {
        mMonotonicNanos += 100 * MILLI;
        mWallMillis += 6_100;

        mClock.getAsLong();

        assertThat(mClock.resumedAtNanos()).isEqualTo(100 * MILLI);
        assertThat(mClock.suspensions()).isEqualTo(1);
        String line = logged();
        assertThat(line).contains("Machine was suspended or its wall clock was stepped ahead");
        assertThat(line).contains("\"monotonic_elapsed_ms\":100,\"wall_elapsed_ms\":6100");
    }

    /** A wait for the hold of another daemon's grant must not end early. */
    @Test
    void getAsLong_wallClockIsSteppedAhead_isMonotonicTime() {
        mWallMillis += 2_000;

        assertThat(mClock.getAsLong()).isEqualTo(0);
    }

    @Test
    void getAsLong_wallClockIsSteppedBack_isLoggedOnly() {
        mWallMillis -= 2_000;

        assertThat(mClock.getAsLong()).isEqualTo(0);
        assertThat(mClock.suspensions()).isEqualTo(0);
        assertThat(logged()).contains("Wall clock was stepped back");
    }

    /** A busy machine must not look like one that was suspended. */
    @Test
    void getAsLong_threadIsPreemptedBetweenReadings_isNoSuspension() {
        mPreemptionMillis = 300;

        assertThat(mClock.getAsLong()).isEqualTo(300 * MILLI);
        assertThat(mClock.getAsLong()).isEqualTo(300 * MILLI);
        assertThat(mClock.suspensions()).isEqualTo(0);
        assertThat(logged()).isEmpty();
    }
}

package org.geraniumusher.model;

import java.util.Optional;

/**
 * Detects that the machine was suspended, by comparing a monotonic clock, which stands still
 * meanwhile, with the wall clock, which does not but may be stepped. Not thread-safe.
 *
 * <p>Invariant: each suspension of more than {@link #TOLERANCE_NANOS} between two readings is
 * detected with the second one, unless the wall clock is stepped back in the same interval. A step
 * ahead looks like a suspension. So a detected suspension may end what was confirmed before it,
 * such as authority or the freshness of a copy, but must not shorten a wait, such as that for the
 * hold of another daemon's grant: waits use the monotonic clock alone.
 */
public final class SuspensionDetector {
    /** Difference between the clocks that can come from their resolution and rates. */
    static final long TOLERANCE_NANOS = 50_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private long mMonotonicNanos;
    private long mWallMillis;
    private long mResumedAtNanos = Long.MIN_VALUE;

    private SuspensionDetector(long monotonicNanos, long wallMillis) {
        mMonotonicNanos = monotonicNanos;
        mWallMillis = wallMillis;
    }

    /** Returns a detector of suspensions that begin after these readings. */
    public static SuspensionDetector startingAt(long monotonicNanos, long wallMillis) {
        return new SuspensionDetector(monotonicNanos, wallMillis);
    }

    /** Returns whether the clocks have advanced alike since the last readings. */
    public boolean agrees(long monotonicNanos, long wallMillis) {
        long monotonicElapsed = monotonicNanos - mMonotonicNanos;
        long wallElapsed = (wallMillis - mWallMillis) * NANOS_PER_MILLI;
        return Math.abs(wallElapsed - monotonicElapsed) <= TOLERANCE_NANOS;
    }

    /**
     * Processes readings of both clocks.
     *
     * @return how far the clocks have advanced since the last readings if that differs, or empty
     */
    public Optional<Disagreement> observe(long monotonicNanos, long wallMillis) {
        Optional<Disagreement> disagreement =
                agrees(monotonicNanos, wallMillis)
                        ? Optional.empty()
                        : Optional.of(
                                new Disagreement(
                                        monotonicNanos - mMonotonicNanos,
                                        (wallMillis - mWallMillis) * NANOS_PER_MILLI));
        mMonotonicNanos = monotonicNanos;
        mWallMillis = wallMillis;
        if (disagreement.isPresent() && disagreement.get().isSuspension()) {
            mResumedAtNanos = monotonicNanos;
        }
        return disagreement;
    }

    /**
     * Returns the monotonic time at which the last suspension was detected, or {@link
     * Long#MIN_VALUE} if there was none. What was confirmed before that time may be outdated.
     */
    public long resumedAtNanos() {
        return mResumedAtNanos;
    }

    /**
     * How far two clocks have advanced between the same two readings.
     *
     * @param monotonicElapsedNanos time by the monotonic clock
     * @param wallElapsedNanos time by the wall clock
     */
    public record Disagreement(long monotonicElapsedNanos, long wallElapsedNanos) {
        /** Reports whether it counts as a suspension, not as a step back of the wall clock. */
        public boolean isSuspension() {
            return wallElapsedNanos > monotonicElapsedNanos;
        }
    }
}

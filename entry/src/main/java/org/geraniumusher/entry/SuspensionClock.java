package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.model.SuspensionDetector;
import org.geraniumusher.model.SuspensionDetector.Disagreement;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The monotonic clock of a daemon in nanoseconds, which also detects suspensions of the machine.
 * Thread-safe.
 *
 * <p>Invariant: the first reading after a suspension detects it, as far as a {@link
 * SuspensionDetector} can. The time itself does not include suspensions, so waits never get shorter
 * by a step of the wall clock; what must not be outdated is compared with {@link #resumedAtNanos}.
 */
final class SuspensionClock implements LongSupplier {
    private final LongSupplier mMonotonicNanos;
    private final LongSupplier mWallMillis;
    private final DecisionLog mLog;
    private final SuspensionDetector mDetector;
    private int mSuspensions;

    private SuspensionClock(LongSupplier monotonicNanos, LongSupplier wallMillis, DecisionLog log) {
        mMonotonicNanos = monotonicNanos;
        mWallMillis = wallMillis;
        mLog = log;
        mDetector =
                SuspensionDetector.startingAt(monotonicNanos.getAsLong(), wallMillis.getAsLong());
    }

    /**
     * Returns a clock that detects suspensions from now on and logs them.
     *
     * @param monotonicNanos monotonic clock in nanoseconds
     * @param wallMillis wall clock in milliseconds since 1970
     */
    static SuspensionClock create(
            LongSupplier monotonicNanos, LongSupplier wallMillis, DecisionLog log) {
        return new SuspensionClock(
                checkNotNull(monotonicNanos), checkNotNull(wallMillis), checkNotNull(log));
    }

    @Override
    public synchronized long getAsLong() {
        long monotonic = mMonotonicNanos.getAsLong();
        long wall = mWallMillis.getAsLong();
        if (!mDetector.agrees(monotonic, wall)) {
            // This thread may have been preempted between the readings, which is no suspension.
            monotonic = mMonotonicNanos.getAsLong();
            wall = mWallMillis.getAsLong();
        }
        mDetector.observe(monotonic, wall).ifPresent(this::onDisagreement);
        return monotonic;
    }

    private void onDisagreement(Disagreement disagreement) {
        if (disagreement.isSuspension()) {
            mSuspensions++;
        }
        mLog.write(
                Part.DAEMON,
                disagreement.isSuspension()
                        ? "Machine was suspended or its wall clock was stepped ahead"
                        : "Wall clock was stepped back",
                "monotonic_elapsed_ms",
                TimeUnit.NANOSECONDS.toMillis(disagreement.monotonicElapsedNanos()),
                "wall_elapsed_ms",
                TimeUnit.NANOSECONDS.toMillis(disagreement.wallElapsedNanos()));
    }

    /**
     * Returns the time of this clock at which the last suspension was detected, or {@link
     * Long#MIN_VALUE} if there was none. What was confirmed before may be outdated.
     */
    synchronized long resumedAtNanos() {
        return mDetector.resumedAtNanos();
    }

    /** Returns the number of suspensions that were detected. */
    synchronized int suspensions() {
        return mSuspensions;
    }
}

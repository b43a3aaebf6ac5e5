package org.geraniumusher.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.HdrHistogram.Histogram;

import java.util.OptionalLong;

/**
 * Decides when a second copy of an idempotent request is sent, for one service in one daemon.
 *
 * <p>The delay is the 95th percentile of the latency observed in the present and the last period of
 * one second, so that about one request in twenty is hedged. A hedge is paid from the retry budget
 * and only sent where the load allows. The caller cancels the copy that answers last. Not
 * thread-safe.
 */
public final class HedgePolicy {
    private static final long PERIOD_NANOS = 1_000_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long HIGHEST_MICROS = 60_000_000;
    private static final int DIGITS = 2;
    private static final double PERCENTILE = 95;
    private static final long MIN_SAMPLES = 100;
    private static final long REFRESH_SAMPLES = 64;

    /** Copies on busy servers delay the requests that they should overtake. */
    private static final double MAX_UTILISATION = 0.8;

    private final RetryMode mMode;
    private final RetryBudget mBudget;
    private Histogram mCurrent = new Histogram(HIGHEST_MICROS, DIGITS);
    private Histogram mLast = new Histogram(HIGHEST_MICROS, DIGITS);
    private long mPeriodStartNanos;
    private long mDelayNanos;

    private HedgePolicy(RetryMode mode, RetryBudget budget, long nowNanos) {
        mMode = mode;
        mBudget = budget;
        mPeriodStartNanos = nowNanos;
    }

    /** Returns a policy that has observed nothing; only {@link RetryMode#BUDGET} hedges. */
    public static HedgePolicy create(RetryMode mode, RetryBudget budget, long nowNanos) {
        checkNotNull(mode, "mode");
        checkNotNull(budget, "budget");
        return new HedgePolicy(mode, budget, nowNanos);
    }

    /** Takes the latency of an answered request, from its first sending. */
    public void answered(long latencyNanos, long nowNanos) {
        checkArgument(latencyNanos >= 0, "bad latencyNanos: %s", latencyNanos);
        if (nowNanos - mPeriodStartNanos >= PERIOD_NANOS) {
            rotate(nowNanos);
        }
        mCurrent.recordValue(Math.min(latencyNanos / NANOS_PER_MICRO, HIGHEST_MICROS));
        if (mCurrent.getTotalCount() % REFRESH_SAMPLES == 0) {
            refresh();
        }
    }

    /** Returns how long after sending to ask {@link #permits}; empty when no hedge is due ever. */
    public OptionalLong delayNanos(boolean idempotent) {
        boolean known = mDelayNanos > 0;
        return idempotent && known && mMode == RetryMode.BUDGET
                ? OptionalLong.of(mDelayNanos)
                : OptionalLong.empty();
    }

    /** Returns whether a copy may be sent now; takes it from the budget if so. */
    public boolean permits(double utilisation) {
        checkArgument(utilisation >= 0, "bad utilisation: %s", utilisation);
        return utilisation <= MAX_UTILISATION && mMode.permits(mBudget);
    }

    private void rotate(long now) {
        Histogram oldest = mLast;
        mLast = mCurrent;
        oldest.reset();
        mCurrent = oldest;
        mPeriodStartNanos = now;
    }

    private void refresh() {
        Histogram both = mLast.copy();
        both.add(mCurrent);
        if (both.getTotalCount() >= MIN_SAMPLES) {
            mDelayNanos = both.getValueAtPercentile(PERCENTILE) * NANOS_PER_MICRO;
        }
    }
}

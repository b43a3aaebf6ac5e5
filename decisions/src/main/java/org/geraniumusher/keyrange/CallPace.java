package org.geraniumusher.keyrange;

/**
 * Limits how many calls a coordinator starts at a time. A slow machine that starts the calls for
 * all ranges at once reads their answers only after the time limit of the first ones, and takes
 * servers that answered for lost. Not thread-safe.
 *
 * <p>Invariant: calls for all ranges can be started within {@link #MAX_SPREAD_NANOS}, so renewals
 * keep their interval, and half of them are left to grants.
 */
final class CallPace {
    /** Time within which a call for each range can be started. */
    private static final long MAX_SPREAD_NANOS = 600_000_000L;

    /** Calls that are started at once for a service with few ranges. */
    private static final int MIN_BURST = 64;

    /** Time in which the calls of a burst may be started again. */
    private static final long BURST_NANOS = 100_000_000L;

    private double mBurst = MIN_BURST;
    private double mTokens = MIN_BURST;
    private long mUpdatedAt = Long.MIN_VALUE / 2;

    /** Adds the calls that may be started by {@code nowNanos} for a table with some ranges. */
    void advance(int ranges, long nowNanos) {
        mBurst = Math.max(MIN_BURST, ranges * ((double) BURST_NANOS / MAX_SPREAD_NANOS));
        double elapsed = Math.min(BURST_NANOS, Math.max(0, nowNanos - mUpdatedAt));
        mTokens = Math.min(mBurst, mTokens + mBurst * elapsed / BURST_NANOS);
        mUpdatedAt = nowNanos;
    }

    /** Reports whether a grant may be sent now, and counts it. */
    boolean tryGrant() {
        return tryTake(1);
    }

    /**
     * Reports whether a release may be sent now, and counts it. Half of a burst is left to grants,
     * as releases to servers that refuse connections are repeated soon.
     */
    boolean tryRelease() {
        return tryTake(mBurst / 2);
    }

    private boolean tryTake(double minTokens) {
        boolean allowed = mTokens >= minTokens;
        if (allowed) {
            mTokens--;
        }
        return allowed;
    }
}

package org.geraniumusher.keyrange;

/**
 * Bounds the holds that a coordinator grants, and those that former coordinators may have granted.
 *
 * <p>Invariant: no hold ends later than {@link #latestHoldEnd} says for the time at which its grant
 * was sent. All times are in nanoseconds. Not thread-safe.
 */
final class HoldBounds {
    /**
     * Hold of a grant while the store is available. After a server stops answering, its keys have
     * no owner for up to this long. A lost coordinator must be replaced within it.
     */
    private static final long HOLD_NANOS = 4_000_000_000L;

    /**
     * Upper bound of a hold, counted from the store's last confirmation of the coordinator. Covers
     * a store outage of 8 s (the longest at the operators' sites), the interval between two
     * confirmations before it, and an election after it.
     */
    private static final long MAX_HOLD_AFTER_CONFIRMATION_NANOS = 11_500_000_000L;

    /** Longest time that a packet is on its way over a healthy link. */
    static final long MAX_TRANSIT_NANOS = 300_000_000L;

    /** Allows for clocks that run slow: 2% for the server, 1% for this daemon. */
    private static final double CLOCK_DRIFT_FACTOR = 1.03;

    private final long mMaxHoldNanos;
    private boolean mStoreUnavailable;
    private long mConfirmedAt;

    /** Time by which the grants of former coordinators have ended, if it is known. */
    private long mFormerHoldEnd;

    HoldBounds(long maxHoldNanos) {
        mMaxHoldNanos = maxHoldNanos;
    }

    void setStoreStatus(long confirmedAtNanos, boolean storeUnavailable) {
        mConfirmedAt = confirmedAtNanos;
        mStoreUnavailable = storeUnavailable;
    }

    /** Returns the hold of a grant that is sent now. */
    long holdNanos(long nowNanos) {
        long hold =
                mStoreUnavailable
                        ? mConfirmedAt + MAX_HOLD_AFTER_CONFIRMATION_NANOS - nowNanos
                        : HOLD_NANOS;
        return Math.min(hold, longestHoldNanos());
    }

    /**
     * Returns the longest hold that any coordinator grants. It leaves the time limit of the grant,
     * so that no hold ends later than if the longest one were granted without a delay.
     */
    private long longestHoldNanos() {
        return mMaxHoldNanos - RangeCoordinator.GRANT_TIME_LIMIT_NANOS;
    }

    /** Sets what bounds the grants of former coordinators at the start of a term. */
    void setFormerCoordinators(CoordinatorElection.FormerCoordinators former) {
        mFormerHoldEnd =
                Math.min(
                        latestHoldEnd(former.confirmedBy(), MAX_HOLD_AFTER_CONFIRMATION_NANOS),
                        latestHoldEnd(former.grantsSentBy(), longestHoldNanos()));
    }

    /** Records that another coordinator may be sending grants now. */
    void setFormerCoordinatorsUnknown() {
        mFormerHoldEnd = Long.MAX_VALUE;
    }

    /** Records that no former coordinator sends a grant after {@code nowNanos}. */
    void limitFormerHolds(long nowNanos) {
        mFormerHoldEnd = formerHoldEnd(nowNanos);
    }

    /** Returns the time by which all grants of former coordinators have ended. */
    long formerHoldEnd(long nowNanos) {
        return Math.min(latestHoldEnd(nowNanos, longestHoldNanos()), mFormerHoldEnd);
    }

    /**
     * Returns the time by which the grants of former coordinators to a server have ended of which
     * the last was sent by {@code lastGrantNanos}.
     */
    long formerHoldEnd(long lastGrantNanos, long nowNanos) {
        return Math.min(formerHoldEnd(nowNanos), latestHoldEnd(lastGrantNanos, longestHoldNanos()));
    }

    /** Returns the time by which the hold of a grant has ended that may have got no answer. */
    static long latestHoldEnd(long sentNanos, long holdNanos) {
        return sentNanos
                + RangeCoordinator.GRANT_TIME_LIMIT_NANOS
                + MAX_TRANSIT_NANOS
                + maxHoldFromArrival(holdNanos);
    }

    /**
     * Returns the longest hold of a grant sent at a time whose hold has ended by {@code endNanos},
     * also without an answer. It is not positive if there is none.
     */
    static long holdEndingBy(long endNanos, long sentNanos) {
        return (long) ((endNanos - latestHoldEnd(sentNanos, 0)) / CLOCK_DRIFT_FACTOR);
    }

    /**
     * Returns a time on the clock of a daemon that is not later than {@code endNanos} on that of
     * the daemon that sent it, where {@code nowNanos} is its arrival.
     */
    static long earliest(long endNanos, long nowNanos) {
        return nowNanos + (long) ((endNanos - nowNanos) / CLOCK_DRIFT_FACTOR) - MAX_TRANSIT_NANOS;
    }

    /**
     * Returns a time on the clock of a daemon by which {@code remainingNanos} of another daemon,
     * whose message arrived at {@code nowNanos}, have passed.
     */
    static long latest(long remainingNanos, long nowNanos) {
        return nowNanos + (long) (remainingNanos * CLOCK_DRIFT_FACTOR);
    }

    /** Returns the longest time for which a server holds a range after a grant arrived. */
    static long maxHoldFromArrival(long holdNanos) {
        return (long) (holdNanos * CLOCK_DRIFT_FACTOR);
    }
}

package org.geraniumusher.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The times at which one limited server can take requests, of which each is given away once. Not
 * thread-safe.
 *
 * <p>Invariant: the times that are given away are at least an interval apart, so the requests in
 * any span are at most one more than the rate allows, however many ask. A request may be sent for
 * {@link #VALID_NANOS} from its time on. All times are in nanoseconds.
 */
public final class PermitSchedule {
    /** Time for which a permit can be used. */
    static final long VALID_NANOS = 500_000_000L;

    /** Time ahead of now for which permits are given at most. */
    static final long MAX_AHEAD_NANOS = 1_000_000_000L;

    /** A new giver of permits waits so long until those of the former one have ended. */
    static final long TAKEOVER_NANOS = VALID_NANOS + MAX_AHEAD_NANOS;

    private static final double NANOS_PER_SECOND = 1e9;

    private final long mFirstNanos;

    /** Time of the last permit that was given, if one was. */
    private long mLastNanos;

    private boolean mHasGiven;

    /** Creates a schedule whose first permit is not before a time. */
    public PermitSchedule(long firstNanos) {
        mFirstNanos = firstNanos;
    }

    /**
     * The permits that were given for one call, for times that are an interval apart.
     *
     * @param count how many, possibly none
     * @param delayNanos time until the first of them
     * @param intervalNanos time between two of them
     * @param nextDelayNanos time until the first that is still to be given
     */
    public record Booking(int count, long delayNanos, long intervalNanos, long nextDelayNanos) {}

    /**
     * Gives permits.
     *
     * @param wanted number of permits at most
     * @param waitNanos time for which the requests that need them may wait
     * @param rank urgency of these requests, 0 being the highest. Less urgent ones book less far
     *     ahead, so that others find times before them.
     */
    public Booking book(
            double requestsPerSecond, int wanted, long waitNanos, int rank, long nowNanos) {
        checkArgument(requestsPerSecond > 0, "rate is not positive: %s", requestsPerSecond);
        checkArgument(wanted >= 0, "wanted is negative: %s", wanted);
        long interval = (long) (NANOS_PER_SECOND / requestsPerSecond);
        long first = nextNanos(interval, nowNanos);
        long ahead = Math.min(MAX_AHEAD_NANOS / (1 + Math.max(0, rank)), Math.max(0, waitNanos));
        int count = 0;
        while (count < wanted && nextNanos(interval, nowNanos) <= nowNanos + ahead) {
            mLastNanos = nextNanos(interval, nowNanos);
            mHasGiven = true;
            count++;
        }
        long next = nextNanos(interval, nowNanos);
        return new Booking(count, first - nowNanos, interval, next - nowNanos);
    }

    private long nextNanos(long intervalNanos, long nowNanos) {
        return Math.max(nowNanos, mHasGiven ? mLastNanos + intervalNanos : mFirstNanos);
    }
}

package org.geraniumusher.dispatch;

import com.google.common.math.LongMath;

import org.geraniumusher.model.DecimalField;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The time for which one incarnation of a server wants no requests, from the {@code Retry-After}
 * fields of its answers with status 503. Not thread-safe.
 *
 * <p>Invariant: the end of a pause never moves to an earlier time. A value that is no time changes
 * nothing.
 */
public final class ServerPause {
    /** Outlasts each server. Times of the clock plus this many nanoseconds don't overflow. */
    private static final double MAX_NANOS = Duration.ofDays(36_500).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private long mEndNanos = Long.MIN_VALUE / 2;
    private boolean mIgnoredBefore;

    /** What an answer with status 503 did to the pause. */
    public enum Change {
        /** No field, or a pause that ends no later than the one before. */
        NONE,
        /** A pause began. */
        BEGUN,
        /** The pause ends later than it would have. */
        EXTENDED,
        /** The first field of this server that is no time. */
        IGNORED_FIRST,
        /** A later one of that kind. */
        IGNORED_AGAIN
    }

    /**
     * Processes an answer with status 503.
     *
     * @param retryAfter values of its {@code Retry-After} fields, none if it has no such field
     */
    public Change onUnavailable(List<String> retryAfter, long nowNanos) {
        if (retryAfter.isEmpty()) {
            return Change.NONE;
        }
        OptionalDouble seconds = DecimalField.parse(retryAfter);
        if (seconds.isEmpty()) {
            Change change = mIgnoredBefore ? Change.IGNORED_AGAIN : Change.IGNORED_FIRST;
            mIgnoredBefore = true;
            return change;
        }
        double nanos = Math.min(seconds.getAsDouble() * NANOS_PER_SECOND, MAX_NANOS);
        long endNanos = LongMath.saturatedAdd(nowNanos, (long) nanos);
        if (endNanos <= endNanos(nowNanos)) {
            return Change.NONE;
        }
        Change change = isActive(nowNanos) ? Change.EXTENDED : Change.BEGUN;
        mEndNanos = endNanos;
        return change;
    }

    /** Returns whether the server wants no requests now. */
    public boolean isActive(long nowNanos) {
        return nowNanos < mEndNanos;
    }

    /** Returns when the server takes requests again, or {@code nowNanos} if it takes them. */
    public long endNanos(long nowNanos) {
        return Math.max(nowNanos, mEndNanos);
    }
}

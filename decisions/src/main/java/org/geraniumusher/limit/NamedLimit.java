package org.geraniumusher.limit;

import org.geraniumusher.model.DecimalField;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The requests per second that one incarnation of a server takes from all daemons together, as this
 * daemon knows it from the answers of the server and from peers. Not thread-safe.
 *
 * <p>Invariant: a limit ends only with an answer without one to a request that was sent after the
 * last answer with one had arrived, since answers can overtake each other. A value that is no
 * number changes nothing. All times are in nanoseconds.
 */
public final class NamedLimit {
    /** Larger rates are as good as none, and their intervals would be 0. */
    static final double MAX_REQUESTS_PER_SECOND = 1e6;

    /**
     * Least rate at which a server gets requests, since only its answers tell that its limit has
     * ended.
     */
    static final double MIN_PERMITTED_PER_SECOND = 0.25;

    private boolean mActive;
    private double mRequestsPerSecond;
    private long mNamedAtNanos = Long.MIN_VALUE / 2;
    private long mEndedAtNanos = Long.MIN_VALUE / 2;
    private boolean mIgnoredBefore;

    /** What an answer or a peer did to the limit. */
    public enum Change {
        /** The limit is as it was. */
        NONE,
        /** The server has a limit now. */
        BEGUN,
        /** The server takes another number of requests per second. */
        CHANGED,
        /** The server has no limit any more. */
        ENDED,
        /** The first value of this server that is no number. */
        IGNORED_FIRST,
        /** A later one of that kind. */
        IGNORED_AGAIN
    }

    /**
     * Processes an answer of the server.
     *
     * @param values values of the field that names the limit, none if the answer has no such field
     * @param sentAtNanos when the request was sent that was answered
     */
    public Change onAnswer(List<String> values, long sentAtNanos, long nowNanos) {
        if (values.isEmpty()) {
            return onEnded(sentAtNanos);
        }
        OptionalDouble rate = DecimalField.parse(values);
        if (rate.isEmpty()) {
            Change change = mIgnoredBefore ? Change.IGNORED_AGAIN : Change.IGNORED_FIRST;
            mIgnoredBefore = true;
            return change;
        }
        return onNamed(rate.getAsDouble(), nowNanos);
    }

    /**
     * Records that the server named a limit. Does nothing if something later is known.
     *
     * @param atNanos the latest time at which it can have named it
     */
    public Change onNamed(double requestsPerSecond, long atNanos) {
        if (atNanos <= mNamedAtNanos || atNanos <= mEndedAtNanos) {
            return Change.NONE;
        }
        mNamedAtNanos = atNanos;
        double rate = Math.min(requestsPerSecond, MAX_REQUESTS_PER_SECOND);
        boolean wasActive = mActive;
        boolean isSame = wasActive && rate == mRequestsPerSecond;
        mActive = true;
        mRequestsPerSecond = rate;
        if (isSame) {
            return Change.NONE;
        }
        return wasActive ? Change.CHANGED : Change.BEGUN;
    }

    /**
     * Records that the server named no limit. Does nothing if it may have named one since.
     *
     * @param atNanos the earliest time at which it can have said so
     */
    public Change onEnded(long atNanos) {
        if (!mActive || atNanos <= mNamedAtNanos) {
            return Change.NONE;
        }
        mActive = false;
        mEndedAtNanos = atNanos;
        return Change.ENDED;
    }

    /** Returns whether the server has a limit. */
    public boolean isActive() {
        return mActive;
    }

    /** Returns the limit that was named last, at most {@link #MAX_REQUESTS_PER_SECOND}. */
    public double requestsPerSecond() {
        return mRequestsPerSecond;
    }

    /** Returns the requests per second that are sent to the server while it has its limit. */
    public double permittedPerSecond() {
        return Math.max(mRequestsPerSecond, MIN_PERMITTED_PER_SECOND);
    }

    /** Returns the latest time at which the server can have named its limit. */
    public long namedAtNanos() {
        return mNamedAtNanos;
    }

    /** Returns the earliest time at which the last limit can have ended. */
    public long endedAtNanos() {
        return mEndedAtNanos;
    }
}

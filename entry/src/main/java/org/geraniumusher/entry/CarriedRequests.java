package org.geraniumusher.entry;

import org.agrona.collections.IntHashSet;

/**
 * What a connection remembers of the requests that it carried. Confined to the event loop.
 *
 * <p>Invariant: at most {@link #MAX_REQUESTS} IDs are remembered, as long as no request is sent
 * after {@link #mayCarryMore} has returned false.
 */
final class CarriedRequests {
    /** Number of requests after which a connection is closed, which limits the IDs in memory. */
    static final int MAX_REQUESTS = 1_000;

    /** Hash codes of the IDs; a collision only costs a connection. */
    private final IntHashSet mIds = new IntHashSet();

    private int mCount;
    private long mLastSentAtNanos;
    private long mLastResponseAtNanos;

    /** Records that a request is sent. */
    void onSent(String id, long nowNanos) {
        mIds.add(id.hashCode());
        mLastSentAtNanos = nowNanos;
        if (mCount == 0) {
            mLastResponseAtNanos = nowNanos;
        }
        mCount++;
    }

    /** Records that the response to the last request is passed on. */
    void onResponse(long nowNanos) {
        mLastResponseAtNanos = nowNanos;
    }

    /** Returns whether a request with an ID was carried, or one with the same hash code. */
    boolean contains(String id) {
        return mIds.contains(id.hashCode());
    }

    /** Returns the number of requests that were sent. */
    int count() {
        return mCount;
    }

    boolean mayCarryMore() {
        return mCount < MAX_REQUESTS;
    }

    /** Returns when the last request was sent. */
    long lastSentAtNanos() {
        return mLastSentAtNanos;
    }

    /** Returns when the last response was passed on, or the first request sent if none was. */
    long lastResponseAtNanos() {
        return mLastResponseAtNanos;
    }
}

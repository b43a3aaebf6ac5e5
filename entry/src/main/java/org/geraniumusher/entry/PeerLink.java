package org.geraniumusher.entry;

import org.geraniumusher.relay.Feeders;

/**
 * A daemon to which requests are passed on, its connections and what its answers show. Confined to
 * the event loop.
 *
 * <p>Invariant: a peer that could not serve a request is left out for a while, which doubles with
 * each such answer in a row.
 */
final class PeerLink {
    private static final long FIRST_PAUSE_NANOS = 500_000_000L;
    private static final int MAX_DOUBLINGS = 4;

    private final Feeders.Member mMember;
    private final ConnectionPool mConnections;
    private int mInFlight;
    private int mFailuresInRow;
    private long mAvoidUntilNanos = Long.MIN_VALUE / 2;

    PeerLink(Feeders.Member member, ConnectionPool connections) {
        mMember = member;
        mConnections = connections;
    }

    Feeders.Member member() {
        return mMember;
    }

    ConnectionPool connections() {
        return mConnections;
    }

    void onSent() {
        mInFlight++;
    }

    void onEnd() {
        mInFlight--;
    }

    /** Returns the number of requests that this daemon has passed on to the peer. */
    int inFlight() {
        return mInFlight;
    }

    /** Records an answer of a server through the peer. */
    void onServed() {
        mFailuresInRow = 0;
    }

    /** Records that the peer reaches no server, or is not reached itself. */
    void onUnable(long nowNanos) {
        mAvoidUntilNanos =
                nowNanos + (FIRST_PAUSE_NANOS << Math.min(mFailuresInRow, MAX_DOUBLINGS));
        mFailuresInRow++;
    }

    /** Returns whether requests may be passed on to the peer now. */
    boolean isUsable(long nowNanos) {
        return nowNanos >= mAvoidUntilNanos;
    }
}

package org.geraniumusher.entry;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.operator.Leaving;
import org.geraniumusher.traffic.ServerEntry;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Client side of one incarnation of a backend server: its latest entry, its estimated load and the
 * connections to it. Confined to the event loop.
 *
 * <p>Invariant: once the server is known to be leaving, no connection is reused.
 */
final class Upstream {
    private static final byte[] NO_PREFACE = {};

    private final LongSupplier mClock;
    private final ServerLoad mLoad;
    private final ConnectionPool mConnections;
    private ServerEntry mEntry;
    private long mAnsweredAtNanos = Long.MIN_VALUE / 2;
    private Leaving mLeaving = Leaving.NO;
    private long mLeavingSinceNanos = Long.MAX_VALUE;

    /** Time since which the server has not been listed, if it is not. */
    private OptionalLong mMissingSinceNanos = OptionalLong.empty();

    /**
     * Creates an upstream without connections.
     *
     * @param clock monotonic clock in nanoseconds
     * @param buffers buffers for the bodies of responses, which all upstreams share
     * @param headers names of the headers of requests and responses
     * @param load load of this incarnation, without requests in flight
     */
    Upstream(
            ServerEntry entry,
            EventLoopGroup group,
            LongSupplier clock,
            ResponseBuffers buffers,
            HeaderNames headers,
            ConnectionPool.Listener listener,
            ServerLoad load) {
        mEntry = entry;
        mClock = clock;
        mConnections = new ConnectionPool(group, clock, buffers, headers, NO_PREFACE, listener);
        mLoad = load;
        updateColdTime(entry);
    }

    ServerEntry entry() {
        return mEntry;
    }

    ServerLoad load() {
        return mLoad;
    }

    /** Records that the server answered a request of this daemon. */
    void onAnswered() {
        mAnsweredAtNanos = nowNanos();
    }

    /** Returns whether the server has answered a request of this daemon within a time. */
    boolean hasAnsweredWithin(long nanos) {
        return nowNanos() - mAnsweredAtNanos <= nanos;
    }

    long nowNanos() {
        return mClock.getAsLong();
    }

    /** Replaces the entry by a newer one of the same incarnation. */
    void update(ServerEntry entry) {
        if (!entry.equals(mEntry)) {
            updateColdTime(entry);
        }
        mEntry = entry;
        mMissingSinceNanos = OptionalLong.empty();
    }

    /** Records that the server is not listed. Returns the time since which it has not been. */
    long markMissing(long nowNanos) {
        if (mMissingSinceNanos.isEmpty()) {
            mMissingSinceNanos = OptionalLong.of(nowNanos);
        }
        return mMissingSinceNanos.getAsLong();
    }

    private void updateColdTime(ServerEntry entry) {
        if (entry.remainingColdNanos() > 0) {
            long now = mClock.getAsLong();
            mLoad.setColdUntil(now + entry.remainingColdNanos(), now);
        }
    }

    /** Records that the server is leaving, unless that is known, and closes idle connections. */
    void markLeaving(Leaving cause, long sinceNanos) {
        if (!isLeaving()) {
            mLeaving = cause;
            mLeavingSinceNanos = sinceNanos;
            mConnections.retire();
        }
    }

    boolean isLeaving() {
        return mLeaving != Leaving.NO;
    }

    Leaving leaving() {
        return mLeaving;
    }

    /**
     * Returns the time, in nanoseconds of the clock, since which this daemon has known that the
     * server is leaving, or has missed its entry. {@link Long#MAX_VALUE} if it isn't leaving.
     */
    long leavingSinceNanos() {
        return mLeavingSinceNanos;
    }

    /** Sends a request to the server; see {@link ConnectionPool#send}. */
    UpstreamConnection send(OutgoingRequest request, UpstreamConnection.Listener listener) {
        return mConnections.send(mEntry.address(), request, listener);
    }

    /** Closes the idle connections that the server is about to close. */
    void closeExpired(long nowNanos) {
        mConnections.closeExpired(nowNanos);
    }
}

package org.geraniumusher.entry;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.operator.Leaving;
import org.geraniumusher.traffic.ServerEntry;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

/**
 * Client side of one incarnation of a backend server: its latest entry, its estimated load and the
 * idle connections to it. Confined to the event loop.
 *
 * <p>Invariant: once the server is known to be leaving, no connection is reused.
 */
final class Upstream implements UpstreamConnection.Pool {
    private final EventLoopGroup mGroup;
    private final LongSupplier mClock;
    private final ResponseBuffers mBuffers;
    private final String mRequestIdHeader;
    private final ServerLoad mLoad;
    private final Listener mListener;
    private final Deque<UpstreamConnection> mIdleConnections = new ArrayDeque<>();
    private ServerEntry mEntry;
    private Leaving mLeaving = Leaving.NO;
    private long mLeavingSinceNanos = Long.MAX_VALUE;

    /** Time since which the server has not been listed, if it is not. */
    private OptionalLong mMissingSinceNanos = OptionalLong.empty();

    /** Is notified of what the server sends to no request. */
    interface Listener {
        /** Called when the server sends bytes on an idle connection. */
        void onUnsolicitedBytes();

        /** See {@link UpstreamConnection.Pool#onSkippedResponse}. */
        void onSkippedResponse(String requestId, String responseId, int status);
    }

    /**
     * Creates an upstream without connections.
     *
     * @param clock monotonic clock in nanoseconds
     * @param buffers buffers for the bodies of responses, which all upstreams share
     * @param requestIdHeader name of the header that carries the request ID
     * @param load load of this incarnation, without requests in flight
     */
    Upstream(
            ServerEntry entry,
            EventLoopGroup group,
            LongSupplier clock,
            ResponseBuffers buffers,
            String requestIdHeader,
            Listener listener,
            ServerLoad load) {
        mEntry = entry;
        mGroup = group;
        mClock = clock;
        mBuffers = buffers;
        mListener = listener;
        mRequestIdHeader = requestIdHeader;
        mLoad = load;
        updateColdTime(entry);
    }

    ServerEntry entry() {
        return mEntry;
    }

    ServerLoad load() {
        return mLoad;
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
            closeIdle();
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

    /**
     * Sends a request over an idle connection, the one used last first, or over a new one.
     *
     * @param mayCarry whether an idle connection may carry the request
     * @return the connection, by which the request can be cancelled
     */
    UpstreamConnection send(
            OutgoingRequest request,
            UpstreamConnection.Listener listener,
            Predicate<UpstreamConnection> mayCarry) {
        closeExpired(mClock.getAsLong());
        Optional<UpstreamConnection> idle = mIdleConnections.stream().filter(mayCarry).findFirst();
        if (idle.isPresent()) {
            mIdleConnections.remove(idle.get());
            idle.get().send(request, listener);
            return idle.get();
        }
        UpstreamConnection created =
                new UpstreamConnection(this, mClock, mBuffers, mRequestIdHeader);
        created.connectAndSend(mGroup, mEntry.address(), request, listener);
        return created;
    }

    /** Closes the idle connections that the server is about to close. */
    void closeExpired(long nowNanos) {
        mIdleConnections.removeIf(
                c -> {
                    boolean expired = !c.isUsable(nowNanos);
                    if (expired) {
                        c.close();
                    }
                    return expired;
                });
    }

    void closeIdle() {
        mIdleConnections.forEach(UpstreamConnection::close);
        mIdleConnections.clear();
    }

    @Override
    public void onIdle(UpstreamConnection connection) {
        if (isLeaving()) {
            connection.close();
            return;
        }
        connection.markIdle(mClock.getAsLong());
        mIdleConnections.addFirst(connection);
    }

    @Override
    public void onUnsolicitedBytes() {
        mListener.onUnsolicitedBytes();
    }

    @Override
    public void onSkippedResponse(String requestId, String responseId, int status) {
        mListener.onSkippedResponse(requestId, responseId, status);
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
        mIdleConnections.remove(connection);
    }
}

package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.model.Address;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The connections to one backend server or daemon, of which idle ones are used again. Confined to
 * the event loop.
 *
 * <p>Invariant: after {@link #retire} no connection becomes idle.
 */
final class ConnectionPool implements UpstreamConnection.Pool {
    private final EventLoopGroup mGroup;
    private final LongSupplier mClock;
    private final ResponseBuffers mBuffers;
    private final HeaderNames mHeaders;
    private final byte[] mPreface;
    private final Listener mListener;
    private final Deque<UpstreamConnection> mIdleConnections = new ArrayDeque<>();
    private boolean mRetired;

    /** Is notified of what the other end sends to no request. */
    interface Listener {
        /** Called when bytes arrive on an idle connection. */
        void onUnsolicitedBytes(UpstreamConnection connection);

        /** See {@link UpstreamConnection.Pool#onSkippedResponse}. */
        void onSkippedResponse(SkippedResponse response);
    }

    /**
     * Creates a pool without connections.
     *
     * @param clock monotonic clock in nanoseconds
     * @param buffers buffers for the bodies of responses, which all pools share
     * @param headers names of the headers of requests and responses
     * @param preface bytes that are sent first on each connection
     */
    ConnectionPool(
            EventLoopGroup group,
            LongSupplier clock,
            ResponseBuffers buffers,
            HeaderNames headers,
            byte[] preface,
            Listener listener) {
        mGroup = group;
        mClock = clock;
        mBuffers = buffers;
        mHeaders = headers;
        mPreface = checkNotNull(preface);
        mListener = listener;
    }

    /**
     * Sends a request over an idle connection that has carried none with its ID, the one used last
     * first, or over a new one.
     *
     * @return the connection, by which the request can be cancelled
     */
    UpstreamConnection send(
            Address address, OutgoingRequest request, UpstreamConnection.Listener listener) {
        closeExpired(mClock.getAsLong());
        Optional<UpstreamConnection> idle =
                mIdleConnections.stream().filter(c -> !c.hasCarried(request.id())).findFirst();
        if (idle.isPresent()) {
            mIdleConnections.remove(idle.get());
            idle.get().send(request, listener);
            return idle.get();
        }
        closeLongestIdle();
        UpstreamConnection created =
                new UpstreamConnection(this, mClock, mBuffers, mHeaders, mPreface);
        created.connectAndSend(mGroup, address, request, listener);
        return created;
    }

    /**
     * Makes room for a new connection. Without it, a caller that repeats one ID would leave an idle
     * connection behind each time, and the server resets those over its limit.
     */
    private void closeLongestIdle() {
        UpstreamConnection longestIdle = mIdleConnections.pollLast();
        if (longestIdle != null) {
            longestIdle.close();
        }
    }

    /** Closes the idle connections that the other end is about to close. */
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

    /** Closes the idle connections, and from now on each other one after its response. */
    void retire() {
        mRetired = true;
        closeIdle();
    }

    @Override
    public void onIdle(UpstreamConnection connection) {
        if (mRetired) {
            connection.close();
            return;
        }
        connection.markIdle(mClock.getAsLong());
        mIdleConnections.addFirst(connection);
    }

    @Override
    public void onUnsolicitedBytes(UpstreamConnection connection) {
        mListener.onUnsolicitedBytes(connection);
    }

    @Override
    public void onSkippedResponse(SkippedResponse response) {
        mListener.onSkippedResponse(response);
    }

    @Override
    public void onClosed(UpstreamConnection connection) {
        mIdleConnections.remove(connection);
    }
}

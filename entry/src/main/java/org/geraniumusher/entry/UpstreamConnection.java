package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

import org.geraniumusher.http.KeepAliveProbes;
import org.geraniumusher.http.LongBodyWriter;
import org.geraniumusher.http.ReceiveLimiter;
import org.geraniumusher.http.ResponseDecoder;
import org.geraniumusher.model.Address;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * An HTTP connection to a backend server, or to a peer that passes requests on, that carries one
 * request at a time. Confined to the event loop.
 *
 * <p>The first request waits until a server that is over its limit of connections would have reset
 * the connection: a request that was sent on it might have been executed. It is sent only if it
 * still {@linkplain OutgoingRequest#maySend may} be by then. A connection on which bytes arrive
 * before is closed, since they belong to no request of it.
 *
 * <p>Invariant: a response is passed to the listener only when it is complete and {@linkplain
 * ResponseMatcher matches} the request in flight. One to another request is skipped: the server
 * sent it a second time, and that to the request in flight may follow. The connection is closed
 * after a response that is skipped, ambiguous, malformed, truncated, too long or unsolicited.
 *
 * <p>The owner of the connection sends no ID on it twice, as the second response to the one request
 * would be taken for that to the other. The attempts of a request have the same ID, a caller may
 * repeat one, and two callers may use the same.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * Limit of the bytes of bodies that arrive until a response is complete, those of responses to
     * other requests included.
     */
    private static final int MAX_BODY_BYTES = 4 << 20;

    /** Time, beside a round trip, for which the first request waits for a reset. */
    private static final long ACCEPT_MARGIN_NANOS = 2_000_000L;

    /** Longest time for which it waits, also if the connect took longer. */
    private static final long MAX_ACCEPT_NANOS = 20_000_000L;

    /** Limit of the bytes other than bodies that arrive until a response is complete. */
    private static final int MAX_FRAMING_BYTES = 256 << 10;

    /** Idle timeout of a server that sends none in its {@code Keep-Alive} header. */
    private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 4_000_000_000L;

    /**
     * Time before the idle timeout of the server from which a connection isn't reused, since the
     * server could close it while a request is in transit. Half of a timeout under 2 s is used.
     */
    private static final long IDLE_MARGIN_NANOS = 1_000_000_000L;

    /** Receives the result of a request. One method is called once, or none after a cancel. */
    interface Listener {
        /** Called with the complete response of the server. */
        void onResponse(UpstreamResponse response);

        /** Called if the connection could not be opened, so that the request was not sent. */
        void onNotSent(Throwable cause);

        /**
         * Called if the server closed the connection before a byte of the request was sent, as one
         * does that is over its limit of connections.
         */
        void onNotAccepted(String cause);

        /** Called if the request was no longer to be sent when the connection could carry it. */
        void onWithdrawn();

        /** Called if there is no usable response; the server may have executed the request. */
        void onNoResponse(ResponseFailure failure);
    }

    /** Owner of the connection, which reuses it while it is idle. */
    interface Pool {
        /** Called when the connection can carry another request. */
        void onIdle(UpstreamConnection connection);

        /**
         * Called when the server sends bytes on an idle connection, or behind a response. The
         * connection is then closed.
         */
        void onUnsolicitedBytes(UpstreamConnection connection);

        /** Called when a response is skipped, since it isn't that to the request in flight. */
        void onSkippedResponse(SkippedResponse response);

        /** Called when the connection was closed or could not be opened. */
        void onClosed(UpstreamConnection connection);
    }

    private final Pool mPool;
    private final LongSupplier mClock;
    private final ResponseBuffers mBuffers;
    private final ResponseMatcher mMatcher;
    private final byte[] mPreface;
    private final ReceiveLimiter mLimiter =
            new ReceiveLimiter(
                    MAX_FRAMING_BYTES,
                    new ReceiveLimiter.Listener() {
                        @Override
                        public void onTooManyBytes() {
                            failOverLimit(ResponseLimit.FRAMING);
                        }

                        @Override
                        public void onUnsolicitedBytes() {
                            UpstreamConnection.this.onUnsolicitedBytes();
                        }
                    });
    private final ResponseDecoder mDecoder = new ResponseDecoder();
    private final WriteMonitor mWriteMonitor = new WriteMonitor();
    private final CarriedRequests mCarried = new CarriedRequests();
    private SocketChannel mChannel;
    private Listener mListener;
    private long mConnectStartedAt;

    /** The first request while it waits for the server to accept the connection, or null. */
    private OutgoingRequest mUnsentRequest;

    /** The write of the last request, or null before the first. */
    private ChannelFuture mRequestWrite;

    private HttpResponse mResponseHead;
    private ResponseBuffers.Buffer mResponseBody;
    private boolean mSkipResponse;
    private boolean mFailed;
    private boolean mCloseAfterResponse;
    private long mIdleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
    private long mUsableUntilNanos;

    /**
     * Creates a connection that is not open.
     *
     * @param preface bytes that are sent before the first request
     */
    UpstreamConnection(
            Pool pool,
            LongSupplier clock,
            ResponseBuffers buffers,
            HeaderNames headers,
            byte[] preface) {
        mPreface = preface;
        mPool = pool;
        mClock = clock;
        mBuffers = buffers;
        mMatcher = new ResponseMatcher(headers);
    }

    /** Opens the connection and sends its first request. */
    void connectAndSend(
            EventLoopGroup group, Address address, OutgoingRequest request, Listener listener) {
        mListener = listener;
        mMatcher.onRequest(idOf(request));
        mConnectStartedAt = mClock.getAsLong();
        KeepAliveProbes.enable(new Bootstrap())
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                mChannel = channel;
                                if (mPreface.length > 0) {
                                    channel.pipeline().addLast(new ConnectionPreface(mPreface));
                                }
                                channel.pipeline()
                                        .addLast(mWriteMonitor)
                                        .addLast(mLimiter)
                                        .addLast(new LongBodyWriter())
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(mDecoder)
                                        .addLast(UpstreamConnection.this);
                            }
                        })
                .connect(address.host(), address.port())
                .addListener((ChannelFuture connected) -> onConnected(connected, request));
    }

    private static String idOf(OutgoingRequest request) {
        String id = request.id();
        checkArgument(!id.isBlank(), "request has no ID");
        return id;
    }

    private void onConnected(ChannelFuture connected, OutgoingRequest request) {
        if (!connected.isSuccess()) {
            // The callback can run within connectAndSend(), whose caller has yet to record the
            // attempt, so the listener is called in a later task.
            mChannel.eventLoop().execute(() -> onConnectFailed(connected.cause()));
        } else if (mListener == null) {
            mChannel.close();
        } else {
            mUnsentRequest = request;
            mChannel.eventLoop().schedule(this::sendFirst, acceptNanos(), TimeUnit.NANOSECONDS);
        }
    }

    /**
     * Returns how long the first request of a connection waits. A server that is over its limit of
     * connections resets one when it accepts it, which shows within a round trip. The connect took
     * one as well.
     */
    private long acceptNanos() {
        long connectNanos = mClock.getAsLong() - mConnectStartedAt;
        return Math.min(MAX_ACCEPT_NANOS, connectNanos + ACCEPT_MARGIN_NANOS);
    }

    private void sendFirst() {
        OutgoingRequest request = mUnsentRequest;
        mUnsentRequest = null;
        if (request != null && request.maySend()) {
            mLimiter.onRequest();
            write(request);
        } else if (request != null) {
            withdraw();
        }
    }

    /** Leaves the connection to other requests, as the one for which it was opened is not sent. */
    private void withdraw() {
        Listener listener = mListener;
        mListener = null;
        mPool.onIdle(this);
        listener.onWithdrawn();
    }

    /** Drops the first request if it waits; returns whether it did. */
    private boolean dropUnsent() {
        boolean unsent = mUnsentRequest != null;
        mUnsentRequest = null;
        return unsent;
    }

    private void onConnectFailed(Throwable cause) {
        Listener listener = mListener;
        mListener = null;
        mPool.onClosed(this);
        if (listener != null) {
            listener.onNotSent(cause);
        }
    }

    /** Sends another request; the connection must be idle and {@linkplain #isUsable usable}. */
    void send(OutgoingRequest request, Listener listener) {
        mListener = listener;
        mMatcher.onRequest(idOf(request));
        mLimiter.onRequest();
        write(request);
    }

    private void write(OutgoingRequest request) {
        mCarried.onSent(request.id(), mClock.getAsLong());
        mWriteMonitor.onRequest();
        FullHttpRequest message = request.build();
        mDecoder.onRequest(message.method());
        mRequestWrite = mChannel.writeAndFlush(message);
    }

    /** Cancels the request in flight by closing the connection, on which the server drops it. */
    void cancel() {
        mListener = null;
        close();
    }

    /** Ends the request in flight as one without a usable response. */
    void expire() {
        failOverLimit(ResponseLimit.DEADLINE);
    }

    void close() {
        dropUnsent();
        if (mChannel != null) {
            mChannel.close();
        }
    }

    /** Returns whether the idle connection is open and not about to be closed by the server. */
    boolean isUsable(long nowNanos) {
        return mChannel.isActive() && nowNanos < mUsableUntilNanos;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail("response cannot be parsed");
            return;
        }
        if (part instanceof HttpResponse head && !onResponseHead(head)) {
            return;
        }
        if (part instanceof HttpContent content && mResponseHead != null) {
            mLimiter.onBody(content.content().readableBytes());
            if (mLimiter.bodyBytes() > MAX_BODY_BYTES) {
                failOverLimit(ResponseLimit.BODY);
                return;
            }
            mResponseBody.append(content.content());
        }
        if (part instanceof LastHttpContent && mResponseHead != null) {
            onResponseEnd();
        }
    }

    private boolean onResponseHead(HttpResponse head) {
        if (head.status().code() < 200) {
            mResponseHead = null;
            return false;
        }
        if (mListener == null) {
            fail("unsolicited response");
            return false;
        }
        ResponseMatcher.Match match = mMatcher.match(head);
        mSkipResponse = match == ResponseMatcher.Match.OTHER;
        if (!mMatcher.hasOwnId(head)) {
            mPool.onSkippedResponse(skipped(head));
        }
        if (!match.ambiguity().isEmpty()) {
            fail(match.ambiguity());
            return false;
        }
        mResponseHead = head;
        mResponseBody = mBuffers.open(() -> failOverLimit(ResponseLimit.BUFFERED));
        return true;
    }

    private SkippedResponse skipped(HttpResponse head) {
        long now = mClock.getAsLong();
        String id = mMatcher.idOf(head);
        return new SkippedResponse(
                mMatcher.requestId(),
                id,
                head.status().code(),
                describe(),
                hasCarried(id),
                now - mCarried.lastSentAtNanos(),
                now - mCarried.lastResponseAtNanos());
    }

    /** Returns whether the connection carried a request with an ID, or one with the same hash. */
    boolean hasCarried(String id) {
        return mCarried.contains(id);
    }

    /**
     * Names the connection and its last request: the local port, by which the server knows it, and
     * the number of requests that were sent.
     */
    String describe() {
        InetSocketAddress local = mChannel == null ? null : mChannel.localAddress();
        return (local == null ? 0 : local.getPort()) + "/" + mCarried.count();
    }

    private void onResponseEnd() {
        HttpResponse head = mResponseHead;
        byte[] body = mResponseBody.toByteArray();
        dropResponse();
        if (mFailed || !hasLength(head) && !isRequestWritten()) {
            fail("connection failed during a response without a length");
            return;
        }
        if (mSkipResponse) {
            mCloseAfterResponse = true;
            return;
        }
        mLimiter.onResponseEnd();
        mCarried.onResponse(mClock.getAsLong());
        String connection = describe();
        updateIdleTimeout(head);
        if (mDecoder.hasUndecodedBytes()) {
            mCloseAfterResponse = true;
            mPool.onUnsolicitedBytes(this);
        }
        boolean reusable =
                HttpUtil.isKeepAlive(head)
                        && hasLength(head)
                        && !mCloseAfterResponse
                        && mCarried.mayCarryMore();
        Listener listener = mListener;
        mListener = null;
        if (reusable) {
            mPool.onIdle(this);
        } else {
            mChannel.close();
        }
        if (listener != null) {
            listener.onResponse(new UpstreamResponse(head, body, connection));
        }
    }

    /**
     * Returns whether the whole request was written. If it was not when the connection ends, the
     * write may have met a reset, which no read then reports.
     */
    private boolean isRequestWritten() {
        return mRequestWrite != null && mRequestWrite.isSuccess();
    }

    private static boolean hasLength(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    /** Reads the idle timeout from the {@code Keep-Alive} header, if the response has one. */
    private void updateIdleTimeout(HttpResponse head) {
        String value = head.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at >= 0) {
            int end = value.indexOf(',', at);
            String seconds = value.substring(at + 8, end < 0 ? value.length() : end).trim();
            try {
                mIdleTimeoutNanos = Long.parseLong(seconds) * 1_000_000_000L;
            } catch (NumberFormatException e) {
                // Not a number of seconds. A wrong default costs only a connection.
                mIdleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
            }
        }
    }

    /** Records that the connection is idle from now on. */
    void markIdle(long nowNanos) {
        mUsableUntilNanos =
                nowNanos + Math.max(mIdleTimeoutNanos - IDLE_MARGIN_NANOS, mIdleTimeoutNanos / 2);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(mFailed ? "connection failed" : "connection closed before the response was complete");
        mPool.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mFailed = true;
        fail("connection failed: " + cause.getMessage());
    }

    private void onUnsolicitedBytes() {
        if (mChannel.isActive()) {
            mPool.onUnsolicitedBytes(this);
            mChannel.close();
        }
    }

    private void dropResponse() {
        mResponseHead = null;
        if (mResponseBody != null) {
            mResponseBody.close();
            mResponseBody = null;
        }
    }

    private void fail(String cause) {
        fail(cause, Optional.empty());
    }

    private void failOverLimit(ResponseLimit limit) {
        fail("response exceeds a limit", Optional.of(limit));
    }

    /** Closes the connection and reports that the request in flight has no response. */
    private void fail(String cause, Optional<ResponseLimit> limit) {
        Listener listener = mListener;
        mListener = null;
        dropResponse();
        // A write can meet a reset that the event loop has not read yet; then nothing was sent.
        boolean unsent = dropUnsent() || !mWriteMonitor.hasWritten();
        mChannel.close();
        if (listener != null && unsent) {
            listener.onNotAccepted(cause);
        } else if (listener != null) {
            listener.onNoResponse(
                    new ResponseFailure(cause, limit, mLimiter.receivedBytes(), describe()));
        }
    }
}

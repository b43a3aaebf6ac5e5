package org.geraniumusher.entry;

import com.google.common.base.Ascii;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.concurrent.Future;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.BodyRejectedException;
import org.geraniumusher.http.LingeringClose;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Handles one connection of a caller, or of a peer that passes on requests, which may be pipelined.
 * Confined to the event loop.
 *
 * <p>Invariants: responses are written in the order of the requests. After a response that closes
 * the connection, no request is handled and no response is written. Each response carries the ID of
 * its request, also if the caller sent none. A request is dispatched only when all that the socket
 * held was read, and not if that includes the close by the caller; for this the channel has to read
 * {@linkplain CallerEndpoint until nothing is left}.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Delay after which a caller may send a request again whose body had no room. */
    private static final double BODY_RETRY_AFTER_SECONDS = 1;

    /** Limit of a reason in a line, which may quote what the caller sent. */
    private static final int MAX_LOGGED_CHARS = 200;

    private final RequestSource mSource;
    private final Dispatcher mDispatcher;
    private final HeaderNames mHeaders;
    private final RequestIds mRequestIds;
    private final LongSupplier mClock;
    private final BooleanSupplier mStopping;
    private final EntryMetrics mMetrics;
    private final DecisionLog mLog;
    private final Deque<PendingResponse> mPending = new ArrayDeque<>();

    /** Requests that were read and not dispatched yet. */
    private final Queue<Exchange> mUndispatched = new ArrayDeque<>();

    private long mIdleSinceNanos;
    private boolean mClosing;

    /** Responses that were passed to the channel and are not sent completely. */
    private int mUnsentResponses;

    /** Unsent bytes at the last check, and the time since which they have been the same. */
    private long mLastUnsentBytes;

    private long mSendingSinceNanos;
    private CloseCause mCloseCause = CloseCause.CALLER;
    private String mFailure = "";

    /** Why a connection ended. */
    enum CloseCause {
        /** The caller closed it, or its network did. */
        CALLER,
        /** It had no requests for the configured time. */
        IDLE,
        /** It had no requests and the daemon stops. */
        STOP,
        /** The caller received nothing of a response for the configured idle time. */
        STALLED,
        /** The last response announced that it would be closed. */
        LAST_RESPONSE,
        /** Reading, writing or handling a request failed. */
        FAILURE
    }

    CallerConnection(
            RequestSource source,
            Dispatcher dispatcher,
            HeaderNames headers,
            RequestIds requestIds,
            LongSupplier clock,
            BooleanSupplier stopping,
            EntryMetrics metrics,
            DecisionLog log) {
        mSource = source;
        mDispatcher = dispatcher;
        mHeaders = headers;
        mRequestIds = requestIds;
        mClock = clock;
        mStopping = stopping;
        mMetrics = metrics;
        mLog = log;
        mIdleSinceNanos = clock.getAsLong();
    }

    /** Returns who sends requests on this connection. */
    RequestSource source() {
        return mSource;
    }

    /**
     * Reports whether the connection is open and for the last {@code nanos} or longer nothing was
     * received, no request was pending and no response was in transmission.
     */
    boolean isIdleFor(long nanos, long nowNanos) {
        return !mClosing
                && mPending.isEmpty()
                && mUnsentResponses == 0
                && nowNanos - mIdleSinceNanos >= nanos;
    }

    /**
     * Reports whether a response is in transmission and nothing of it has been sent for {@code
     * nanos} or longer. Progress is noticed between two calls.
     */
    boolean isStalledFor(Channel channel, long nanos, long nowNanos) {
        long unsentBytes = unsentBytes(channel.unsafe().outboundBuffer());
        if (mUnsentResponses == 0 || unsentBytes != mLastUnsentBytes) {
            mLastUnsentBytes = unsentBytes;
            mSendingSinceNanos = nowNanos;
        }
        return mUnsentResponses > 0 && nowNanos - mSendingSinceNanos >= nanos;
    }

    private static long unsentBytes(ChannelOutboundBuffer buffer) {
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (mClosing || isLastResponsePending()) {
            // The caller sends it again, as the response before it closes the connection.
            return;
        }
        String id = idOf(request);
        PendingResponse pending = new PendingResponse(context, id, HttpUtil.isKeepAlive(request));
        mPending.add(pending);
        if (request.decoderResult().isFailure()) {
            reject(request, pending);
            return;
        }
        pending.mBody = request.content().retain();
        pending.mExchange =
                new Exchange(
                        new Exchange.Request(
                                request.method(),
                                request.uri(),
                                request.headers(),
                                request.content()),
                        id,
                        mClock.getAsLong(),
                        mSource,
                        pending);
        mUndispatched.add(pending.mExchange);
        mMetrics.onRequest();
    }

    private void reject(FullHttpRequest request, PendingResponse pending) {
        Throwable cause = request.decoderResult().cause();
        if (cause instanceof BodyRejectedException) {
            // The rest of the body is discarded, after which the connection can be used again. A
            // caller that waits for 100 (Continue) may leave the body out, which looks the same.
            pending.mKeepAlive &= !HttpUtil.is100ContinueExpected(request);
            mMetrics.onBodyRejected();
            mLog.write(
                    Part.REQUEST,
                    "Request rejected, its body has no room",
                    "id",
                    pending.mId,
                    "reason",
                    cause.getMessage());
            pending.fail(ResultCode.NO_BODY_MEMORY, BODY_RETRY_AFTER_SECONDS);
            return;
        }
        pending.mKeepAlive = false;
        boolean tooLarge = cause instanceof TooLongHttpContentException;
        ResultCode result = tooLarge ? ResultCode.BODY_TOO_LARGE : ResultCode.BAD_REQUEST;
        mLog.write(
                Part.REQUEST,
                "Request rejected, it breaks HTTP or a size limit",
                "id",
                pending.mId,
                "result",
                result,
                "reason",
                Ascii.truncate(String.valueOf(cause.getMessage()), MAX_LOGGED_CHARS, "..."));
        pending.fail(result, 0);
    }

    /** Returns the ID that the caller sent, or a new one if it sent none or an empty one. */
    private String idOf(FullHttpRequest request) {
        String id = request.headers().get(mHeaders.requestId(), "");
        return id.isBlank() ? mRequestIds.next() : id;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        // A request that is still being received also counts as activity.
        mIdleSinceNanos = mClock.getAsLong();
        if (!mUndispatched.isEmpty()) {
            // The channel handles a close that it has read only after this method.
            context.executor().execute(() -> dispatchRead(context.channel()));
        }
        context.fireChannelReadComplete();
    }

    /** Dispatches the requests that were read, unless the caller has closed the connection. */
    private void dispatchRead(Channel channel) {
        while (channel.isActive() && !mUndispatched.isEmpty()) {
            Exchange exchange = mUndispatched.remove();
            if (!exchange.isEnded()) {
                mDispatcher.dispatch(exchange);
            }
        }
    }

    /** Closes the connection, which must be idle or stalled. */
    void close(Channel channel, CloseCause cause) {
        mCloseCause = cause;
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mClosing = true;
        mMetrics.onCallerConnectionClosed(mCloseCause, mUnsentResponses > 0);
        if (!mPending.isEmpty() || mUnsentResponses > 0 || mCloseCause == CloseCause.FAILURE) {
            mLog.write(
                    Part.REQUEST,
                    "Connection of a caller closed before all responses were sent",
                    "cause",
                    mCloseCause,
                    "failure",
                    mFailure,
                    "pending",
                    mPending.size(),
                    "unsent",
                    mUnsentResponses);
        }
        abandonPending();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset by the caller arrives as an IOException, its close within a request as the other.
        boolean byCaller =
                cause instanceof IOException || cause instanceof PrematureChannelClosureException;
        if (!byCaller) {
            mCloseCause = CloseCause.FAILURE;
        }
        if (mFailure.isEmpty()) {
            mFailure = String.valueOf(cause);
        }
        // Closing the channel calls channelInactive.
        context.close();
    }

    /**
     * Reports whether the connection closes with the response to a request that is pending. A
     * request behind it would get no response.
     */
    private boolean isLastResponsePending() {
        return !mPending.isEmpty() && !mPending.peekLast().mKeepAlive;
    }

    /** Writes the responses that are ready and that no earlier pending response precedes. */
    private void writeReadyResponses(ChannelHandlerContext context) {
        while (!mPending.isEmpty() && mPending.peek().mResponse != null && !mClosing) {
            PendingResponse pending = mPending.poll();
            // While the daemon stops, the connection stays open until all requests that were
            // dispatched have been answered.
            boolean closing = mStopping.getAsBoolean() && mPending.isEmpty();
            boolean keepAlive = pending.mKeepAlive && !closing;
            HttpUtil.setKeepAlive(pending.mResponse, keepAlive);
            mUnsentResponses++;
            ChannelFuture sent = context.writeAndFlush(pending.mResponse);
            sent.addListener(f -> onSent(context, f));
            if (!keepAlive) {
                mClosing = true;
                mCloseCause = CloseCause.LAST_RESPONSE;
                sent.addListener(f -> LingeringClose.closeAfterResponse(context.channel()));
                abandonPending();
            }
        }
    }

    private void onSent(ChannelHandlerContext context, Future<?> sent) {
        if (sent.isSuccess()) {
            mUnsentResponses--;
            mIdleSinceNanos = mClock.getAsLong();
        } else {
            // The caller would take a later response for the one that was not sent.
            exceptionCaught(context, sent.cause());
        }
    }

    /**
     * Cancels the requests that are still pending. After a response that closes the connection, the
     * caller may treat them as not processed.
     */
    private void abandonPending() {
        for (PendingResponse pending : mPending) {
            if (pending.mResponse != null) {
                mLog.write(
                        Part.REQUEST,
                        "Response was dropped, its connection closed first",
                        "id",
                        pending.mId,
                        "status",
                        pending.mResponse.status().code());
                pending.mResponse.release();
            } else if (pending.mExchange != null) {
                mDispatcher.abandon(pending.mExchange);
            }
            pending.releaseBody();
        }
        mPending.clear();
    }

    /** The response to one request, in the order in which responses are written. */
    private final class PendingResponse implements Exchange.CallerResponder {
        private final ChannelHandlerContext mContext;
        private final String mId;
        private boolean mKeepAlive;
        private Exchange mExchange;
        private FullHttpResponse mResponse;

        /** Keeps the body of the request in memory until the request has ended. */
        private ByteBuf mBody = Unpooled.EMPTY_BUFFER;

        PendingResponse(ChannelHandlerContext context, String id, boolean keepAlive) {
            mContext = context;
            mId = id;
            mKeepAlive = keepAlive;
        }

        @Override
        public void respond(UpstreamResponse response) {
            FullHttpResponse forwarded =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            response.head().status(),
                            Unpooled.wrappedBuffer(response.body()));
            forwarded.headers().set(response.head().headers());
            HopByHopHeaders.remove(forwarded.headers());
            forwarded.headers().set(mHeaders.requestId(), mId);
            forwarded.headers().remove(PeerForwarder.RESULT_HEADER);
            if (mSource == RequestSource.PEER) {
                forwarded.headers().set(PeerForwarder.SERVER_HEADER, mExchange.lastServer());
            } else {
                forwarded.headers().remove(PeerForwarder.SERVER_HEADER);
            }
            forwarded.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.body().length);
            complete(forwarded);
        }

        @Override
        public void fail(ResultCode code, double retryAfterSeconds) {
            // Only status 503 guarantees the caller that the request was not executed.
            boolean notExecuted = code.outcome() == Outcome.NOT_RUN && code.httpStatus() >= 500;
            HttpResponseStatus status =
                    notExecuted
                            ? HttpResponseStatus.SERVICE_UNAVAILABLE
                            : HttpResponseStatus.valueOf(code.httpStatus());
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
            response.headers().set(mHeaders.requestId(), mId);
            if (mSource == RequestSource.PEER) {
                response.headers().set(PeerForwarder.RESULT_HEADER, code.number());
            }
            if (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                response.headers()
                        .set(
                                HttpHeaderNames.RETRY_AFTER,
                                String.format(Locale.ROOT, "%.2f", retryAfterSeconds));
            }
            if (!mKeepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            complete(response);
        }

        private void complete(FullHttpResponse response) {
            mResponse = response;
            releaseBody();
            writeReadyResponses(mContext);
        }

        private void releaseBody() {
            mBody.release();
            mBody = Unpooled.EMPTY_BUFFER;
        }
    }
}

package org.geraniumusher.caller;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;

import org.geraniumusher.backend.UpstreamConnection;
import org.geraniumusher.backend.UpstreamListener;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.routing.Dispatch;
import org.geraniumusher.routing.GatewayReport;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Carries one request from the caller to a backend server and the response back.
 *
 * <p>At most one attempt is current; events of an older one are ignored. The response of an attempt
 * is passed on only by this exchange and only on the connection on which the request came. Confined
 * to the event loop of that connection, but for the methods of {@link RequestDecisions.Port}.
 */
final class Exchange implements RequestDecisions.Port {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final CallerContext mContext;
    private final CallerConnection mConnection;
    private final ChannelHandlerContext mInbound;
    private final HttpRequest mRequest;
    private final long mId;
    private final ReplayBuffer mBody = new ReplayBuffer();
    private Attempt mAttempt;
    private ScheduledFuture<?> mDeadline;
    private boolean mMayHaveRun;
    private boolean mResponseStarted;
    private boolean mEnded;

    Exchange(
            CallerContext context,
            CallerConnection connection,
            ChannelHandlerContext inbound,
            HttpRequest request) {
        mContext = context;
        mConnection = connection;
        mInbound = inbound;
        mRequest = request;
        mId = context.nextId();
    }

    /** Announces the request and asks for the first part of its body. */
    void start() {
        if (HttpUtil.is100ContinueExpected(mRequest)) {
            mInbound.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        mConnection.readNext();
        boolean accepted =
                mContext.decisions()
                        .arrived(
                                new RequestDecisions.Arrival(
                                        mId,
                                        new NettyRequestHead(mRequest),
                                        mContext.forwarded(),
                                        mContext.clock().getAsLong(),
                                        this));
        if (!accepted) {
            sendRefusal(ResultCode.OVERLOADED, mContext.retryAfterMillis());
        }
    }

    /** Takes a part of the body. */
    void onContent(HttpContent part) {
        if (mEnded) {
            part.release();
            return;
        }
        mBody.add(part);
        if (mAttempt != null && mAttempt.isConnected()) {
            mAttempt.send(part);
        } else {
            part.release();
        }
    }

    /** Ends the exchange because the caller has left. */
    void onCallerGone() {
        if (!mEnded) {
            mContext.decisions().abandoned(mId);
            end();
        }
    }

    @Override
    public void dispatch(Dispatch dispatch) {
        mInbound.channel().eventLoop().execute(() -> beginAttempt(dispatch));
    }

    @Override
    public void refuse(ResultCode code, long retryAfterMillis) {
        mInbound.channel()
                .eventLoop()
                .execute(
                        () -> {
                            if (!mEnded) {
                                sendRefusal(code, retryAfterMillis);
                            }
                        });
    }

    @Override
    public void abort() {
        mInbound.channel()
                .eventLoop()
                .execute(
                        () -> {
                            if (!mEnded && !mResponseStarted && mAttempt != null) {
                                mAttempt.giveUp();
                            }
                        });
    }

    private void beginAttempt(Dispatch dispatch) {
        if (mEnded) {
            return;
        }
        if (mDeadline == null) {
            long left = dispatch.deadlineNanos() - mContext.clock().getAsLong();
            mDeadline =
                    mInbound.channel()
                            .eventLoop()
                            .schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
        }
        mAttempt = new Attempt(dispatch);
        mContext.pool(mInbound.channel().eventLoop()).acquire(dispatch.via().address(), mAttempt);
    }

    private void onDeadline() {
        if (mEnded || mResponseStarted) {
            return;
        }
        boolean mayHaveRun = mMayHaveRun || (mAttempt != null && mAttempt.isConnected());
        mContext.decisions().abandoned(mId);
        sendRefusal(mayHaveRun ? ResultCode.TIMED_OUT : ResultCode.DEADLINE_UNREACHABLE, 0);
    }

    private void sendRefusal(ResultCode code, long retryAfterMillis) {
        FullHttpResponse response = Refusals.toResponse(code, retryAfterMillis, mId);
        mContext.onRefused(code);
        boolean keepAlive = mBody.isComplete() && mConnection.keepsAlive(mRequest);
        response.headers()
                .set(
                        HttpHeaderNames.CONNECTION,
                        keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
        end();
        mConnection.expectResponseTo(mRequest);
        mInbound.writeAndFlush(response)
                .addListener(written -> mConnection.onExchangeEnded(keepAlive));
    }

    private void end() {
        mEnded = true;
        mBody.release();
        if (mDeadline != null) {
            mDeadline.cancel(false);
        }
        if (mAttempt != null) {
            mAttempt.cancel();
        }
    }

    /** Is one attempt to get the request executed. */
    private final class Attempt implements UpstreamListener {
        private final Dispatch mDispatch;
        private UpstreamConnection mUpstream;
        private long mConnectedNanos;
        private HttpResponse mHead;
        private ResultCode mNotRun;
        private boolean mUnknown;
        private Optional<GatewayReport> mReport = Optional.empty();

        Attempt(Dispatch dispatch) {
            mDispatch = dispatch;
        }

        boolean isConnected() {
            return mUpstream != null;
        }

        void cancel() {
            if (mUpstream != null) {
                mUpstream.close();
                mUpstream = null;
            }
        }

        void giveUp() {
            boolean maySent = mUpstream != null;
            cancel();
            mAttempt = null;
            if (maySent) {
                mMayHaveRun = true;
                mContext.decisions().outcomeUnknown(mId, mBody.canReplay());
            } else {
                mContext.decisions().notRun(mId, ResultCode.CONNECT_FAILED, mBody.canReplay());
            }
        }

        void send(HttpContent part) {
            UpstreamConnection upstream = mUpstream;
            ChannelFuture written = upstream.write(part);
            upstream.flush();
            if (!mBody.isComplete()) {
                written.addListener(
                        done -> {
                            if (done.isSuccess() && isCurrent()) {
                                mConnection.readNext();
                            }
                        });
            }
        }

        @Override
        public void onConnected(UpstreamConnection upstream) {
            if (!isCurrent()) {
                upstream.close();
                return;
            }
            mUpstream = upstream;
            mConnectedNanos = mContext.clock().getAsLong();
            upstream.write(outgoingHead());
            mBody.copies().forEach(upstream::write);
            upstream.flush();
            upstream.read();
            if (!mBody.isComplete()) {
                mConnection.readNext();
            }
        }

        private HttpRequest outgoingHead() {
            HttpRequest head =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, mRequest.method(), mRequest.uri());
            head.headers().set(mRequest.headers());
            long leftNanos = mDispatch.deadlineNanos() - mContext.clock().getAsLong();
            ResponseRelay.prepareRequest(
                    head, mDispatch, mId, Math.max(0, leftNanos / NANOS_PER_MILLI));
            return head;
        }

        @Override
        public void onConnectFailed(Throwable cause) {
            if (isCurrent()) {
                mAttempt = null;
                mContext.decisions().notRun(mId, ResultCode.CONNECT_FAILED, mBody.canReplay());
            }
        }

        @Override
        public void onHead(HttpResponse response) {
            mHead = response;
            mNotRun = ResponseRelay.notRunCode(response).orElse(null);
            mUnknown =
                    mDispatch.via() instanceof Dispatch.Gateway
                            && ResponseRelay.isUnknown(response);
            if (mNotRun == null && !mUnknown) {
                mResponseStarted = true;
                boolean keepAlive = mConnection.keepsAlive(mRequest);
                boolean reusable = ResponseRelay.isReusable(response, isHead());
                mReport = ResponseRelay.takeReport(response);
                ResponseRelay.prepareResponse(response, mRequest, mDispatch, keepAlive);
                if (mContext.forwarded()) {
                    long serviceNanos = mContext.clock().getAsLong() - mConnectedNanos;
                    ResponseRelay.addReport(response, mDispatch, serviceNanos);
                }
                mHead = reusable ? response : null;
                mConnection.expectResponseTo(mRequest);
                mInbound.write(response);
            }
            mUpstream.read();
        }

        @Override
        public void onContent(HttpContent content) {
            boolean isLast = content instanceof LastHttpContent;
            if (mNotRun != null || mUnknown) {
                content.release();
                if (isLast) {
                    finishUpstream(ResponseRelay.isReusable(mHead, isHead()));
                    reportNoResponse();
                } else {
                    mUpstream.read();
                }
                return;
            }
            if (isLast) {
                finishUpstream(mHead != null && mBody.isComplete());
                finishResponse(content);
            } else {
                relay(content);
            }
        }

        private void relay(HttpContent content) {
            mInbound.writeAndFlush(content)
                    .addListener(
                            written -> {
                                if (written.isSuccess() && isCurrent() && mUpstream != null) {
                                    mUpstream.read();
                                }
                            });
        }

        private void finishUpstream(boolean reusable) {
            UpstreamConnection upstream = mUpstream;
            mUpstream = null;
            if (reusable) {
                upstream.release();
            } else {
                upstream.close();
            }
        }

        private void finishResponse(HttpContent last) {
            boolean keepAlive = mBody.isComplete() && mConnection.keepsAlive(mRequest);
            mContext.decisions().answered(mId, mReport);
            end();
            mInbound.writeAndFlush(last)
                    .addListener(
                            written ->
                                    mConnection.onExchangeEnded(keepAlive && written.isSuccess()));
        }

        private void reportNoResponse() {
            mAttempt = null;
            if (mUnknown) {
                mMayHaveRun = true;
                mContext.decisions().outcomeUnknown(mId, mBody.canReplay());
            } else {
                mContext.decisions().notRun(mId, mNotRun, mBody.canReplay());
            }
        }

        @Override
        public void onBroken(Throwable cause) {
            mUpstream = null;
            if (!isCurrent()) {
                return;
            }
            mAttempt = null;
            if (mResponseStarted) {
                mContext.decisions().abandoned(mId);
                end();
                mConnection.onExchangeEnded(false);
            } else {
                mMayHaveRun = true;
                mContext.decisions().outcomeUnknown(mId, mBody.canReplay());
            }
        }

        private boolean isCurrent() {
            return !mEnded && mAttempt == this;
        }

        private boolean isHead() {
            return mRequest.method().equals(HttpMethod.HEAD);
        }
    }
}

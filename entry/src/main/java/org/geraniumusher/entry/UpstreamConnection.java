package org.geraniumusher.entry;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

import org.geraniumusher.http.KeepAliveProbes;
import org.geraniumusher.model.Address;

/**
 * Carries one request at a time to a backend server. Confined to the event loop.
 *
 * <p>Invariant: a response is handed on only when it is complete and bears the id of the request
 * that is in flight. After a response that does not end cleanly, or bytes that nobody asked for,
 * the connection is closed.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    /** A server closes idle connections after this time unless it says otherwise. */
    private static final long DEFAULT_IDLE_NANOS = 4_000_000_000L;

    /** Margin before the server closes an idle connection, for the way there. */
    private static final long IDLE_MARGIN_NANOS = 1_000_000_000L;

    /** Takes the end of a request. One method is called, once. */
    interface Listener {
        /** The server has answered. */
        void onResponse(UpstreamResponse response);

        /** The request did not leave this daemon. */
        void onNotSent(Throwable cause);

        /** There is no answer, and the request may have run. */
        void onBroken(String cause);
    }

    /** Takes a connection that can carry another request. */
    interface Pool {
        /** The connection is idle. */
        void onIdle(UpstreamConnection connection);

        /** The connection has ended. */
        void onClosed(UpstreamConnection connection);
    }

    private final Pool mPool;
    private final String mIdHeader;
    private SocketChannel mChannel;
    private Listener mListener;
    private String mRequestId;
    private HttpResponse mHead;
    private ByteBuf mBody;
    private boolean mSkipped;
    private boolean mReset;
    private boolean mCloseAfter;
    private long mIdleNanos = DEFAULT_IDLE_NANOS;
    private long mIdleUntil;

    UpstreamConnection(Pool pool, String idHeader) {
        mPool = pool;
        mIdHeader = idHeader;
    }

    void open(EventLoopGroup group, Address address, FullHttpRequest first, Listener listener) {
        mListener = listener;
        mRequestId = first.headers().get(mIdHeader);
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
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(UpstreamConnection.this);
                            }
                        })
                .connect(address.host(), address.port())
                .addListener((ChannelFuture opened) -> onOpened(opened, first));
    }

    private void onOpened(ChannelFuture opened, FullHttpRequest first) {
        if (!opened.isSuccess()) {
            first.release();
            // Not in the call that sends: its caller has not noted the attempt yet.
            mChannel.eventLoop().execute(() -> onNotOpened(opened.cause()));
        } else if (mListener == null) {
            first.release();
            mChannel.close();
        } else {
            mChannel.writeAndFlush(first);
        }
    }

    private void onNotOpened(Throwable cause) {
        Listener listener = mListener;
        mListener = null;
        mPool.onClosed(this);
        if (listener != null) {
            listener.onNotSent(cause);
        }
    }

    void send(FullHttpRequest request, Listener listener) {
        mListener = listener;
        mRequestId = request.headers().get(mIdHeader);
        mChannel.writeAndFlush(request);
    }

    /** Gives the request in flight up; the server drops it when the connection closes. */
    void cancel() {
        mListener = null;
        close();
    }

    void close() {
        if (mChannel != null) {
            mChannel.close();
        }
    }

    boolean isUsable(long nowNanos) {
        return mChannel.isActive() && nowNanos < mIdleUntil;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (part.decoderResult().isFailure()) {
            fail("response cannot be parsed");
            return;
        }
        if (part instanceof HttpResponse head && !onHead(head)) {
            return;
        }
        if (part instanceof HttpContent content && mHead != null) {
            if (mBody.readableBytes() + content.content().readableBytes() > MAX_RESPONSE_BYTES) {
                fail("response is longer than " + MAX_RESPONSE_BYTES + " bytes");
                return;
            }
            mBody.writeBytes(content.content());
        }
        if (part instanceof LastHttpContent && mHead != null) {
            onEnd();
        }
    }

    private boolean onHead(HttpResponse head) {
        if (head.status().code() < 200) {
            mHead = null;
            return false;
        }
        if (mListener == null) {
            fail("response without a request");
            return false;
        }
        String id = head.headers().get(mIdHeader);
        mSkipped = id != null && !id.equals(mRequestId);
        mHead = head;
        mBody = Unpooled.buffer(512);
        return true;
    }

    private void onEnd() {
        HttpResponse head = mHead;
        byte[] body = ByteBufUtil.getBytes(mBody);
        mHead = null;
        mBody = null;
        if (mReset) {
            fail("connection reset within a response without a length");
            return;
        }
        if (mSkipped) {
            // A late extra response to an earlier request; the right one follows.
            mCloseAfter = true;
            return;
        }
        noteIdleTime(head);
        boolean reusable = HttpUtil.isKeepAlive(head) && hasLength(head) && !mCloseAfter;
        Listener listener = mListener;
        mListener = null;
        if (reusable) {
            mPool.onIdle(this);
        } else {
            mChannel.close();
        }
        if (listener != null) {
            listener.onResponse(new UpstreamResponse(head, body));
        }
    }

    private static boolean hasLength(HttpResponse head) {
        return HttpUtil.isContentLengthSet(head)
                || HttpUtil.isTransferEncodingChunked(head)
                || head.status().code() == 204
                || head.status().code() == 304;
    }

    private void noteIdleTime(HttpResponse head) {
        String value = head.headers().get("Keep-Alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (at >= 0) {
            int end = value.indexOf(',', at);
            String seconds = value.substring(at + 8, end < 0 ? value.length() : end).trim();
            try {
                mIdleNanos = Long.parseLong(seconds) * 1_000_000_000L;
            } catch (NumberFormatException e) {
                // Not a number of seconds: the default stays, which only costs a connection.
                mIdleNanos = DEFAULT_IDLE_NANOS;
            }
        }
    }

    void noteIdleSince(long nowNanos) {
        mIdleUntil = nowNanos + Math.max(mIdleNanos - IDLE_MARGIN_NANOS, mIdleNanos / 2);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(mReset ? "connection reset" : "connection closed before the whole response");
        mPool.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mReset = true;
        fail("connection failed: " + cause.getMessage());
    }

    private void fail(String cause) {
        Listener listener = mListener;
        mListener = null;
        mHead = null;
        mChannel.close();
        if (listener != null) {
            listener.onBroken(cause);
        }
    }
}

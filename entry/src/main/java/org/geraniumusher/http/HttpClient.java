package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;

import org.geraniumusher.model.Address;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * HTTP client for control traffic that keeps a pool of idle connections per address. A future that
 * fails leaves open whether the server executed the request. Thread-safe; never blocks.
 *
 * <p>Invariant: after a call that got no response in time, or was cancelled, no call uses a
 * connection to that address that was idle then. A network that has forgotten one connection has
 * probably forgotten the others, and each would cost another call its whole time.
 */
public final class HttpClient {
    private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

    /** Upper limit of the connect timeout, so that an unreachable peer is detected early. */
    private static final long MAX_CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Limit of a reply's body unless another one is given. */
    private static final int DEFAULT_MAX_REPLY_BYTES = HttpServer.MAX_BODY_BYTES * 4;

    /** Limit of the bytes that a reply may have beside its body. */
    private static final int MAX_FRAMING_BYTES = 64 << 10;

    /**
     * Number of parts of a body that are kept before they are copied together. Each part retains
     * the buffer into which it was read, however small the part is.
     */
    private static final int MAX_BODY_PARTS = 16;

    private final EventLoopGroup mGroup;
    private final int mMaxReplyBytes;
    private final PeerKind mPeerKind;
    private final Map<Address, Queue<ClientConnection>> mIdleConnections =
            new ConcurrentHashMap<>();

    private HttpClient(EventLoopGroup group, int maxReplyBytes, PeerKind peerKind) {
        mGroup = checkNotNull(group);
        mMaxReplyBytes = maxReplyBytes;
        mPeerKind = checkNotNull(peerKind);
    }

    /** Returns a client for daemons and the store whose connections run on {@code group}. */
    public static HttpClient create(EventLoopGroup group) {
        return create(group, DEFAULT_MAX_REPLY_BYTES, PeerKind.DAEMON_OR_STORE);
    }

    /**
     * Returns a client whose connections run on {@code group}.
     *
     * @param maxReplyBytes limit of the body of a reply; a call with a longer one fails
     */
    public static HttpClient create(EventLoopGroup group, int maxReplyBytes, PeerKind peerKind) {
        return new HttpClient(group, maxReplyBytes, peerKind);
    }

    /**
     * Sends a request and returns its response.
     *
     * <p>The future fails with an {@link IOException} on a connection error, and with a {@link
     * TimeoutException} if no response arrives within {@code timeout} of this call, in which the
     * time to connect counts. A request is not sent after that time. A GET whose pooled connection
     * fails is sent once more on a new connection, with {@code timeout} starting over. To cancel
     * the future closes the connection of the call.
     */
    public CompletableFuture<HttpReply> call(Address address, HttpCall call, Duration timeout) {
        Optional<ClientConnection> idle = pollIdle(address);
        if (idle.isEmpty()) {
            return callOnNewConnection(address, call, timeout);
        }
        CompletableFuture<HttpReply> first = new CompletableFuture<>();
        idle.get().send(address, call, limit(timeout), first);
        if (!call.method().equals("GET")) {
            return first;
        }
        CompletableFuture<HttpReply> result = new CompletableFuture<>();
        Cancellation.propagate(result, first);
        first.whenComplete(
                (reply, error) -> {
                    // A peer that restarted has closed its pooled connections, and a GET is safe to
                    // repeat.
                    if (error instanceof IOException && !result.isDone()) {
                        Cancellation.forward(callOnNewConnection(address, call, timeout), result);
                    } else {
                        Cancellation.complete(result, reply, error);
                    }
                });
        return result;
    }

    /**
     * Sends a request as {@link #call} does, on a connection that has carried no other call, so
     * that the response can't belong to one.
     */
    public CompletableFuture<HttpReply> callOnNewConnection(
            Address address, HttpCall call, Duration timeout) {
        CompletableFuture<HttpReply> future = new CompletableFuture<>();
        HttpObjectAggregator aggregator = new HttpObjectAggregator(mMaxReplyBytes);
        aggregator.setMaxCumulationBufferComponents(MAX_BODY_PARTS);
        ClientConnection connection =
                new ClientConnection(mMaxReplyBytes, mPeerKind, this::offerIdle, this::closeIdle);
        TimeLimit limit = limit(timeout);
        ChannelFuture connecting =
                connect(
                        address,
                        timeout,
                        channel ->
                                channel.pipeline()
                                        .addLast(connection.limiter())
                                        .addLast(new HttpRequestEncoder())
                                        .addLast(connection.decoder())
                                        .addLast(aggregator)
                                        .addLast(connection));
        connecting.addListener(
                (ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        connection.send(address, call, limit, future);
                    } else {
                        // A refusal proves nothing of the connections that are open.
                        if (opened.cause() instanceof ConnectTimeoutException) {
                            closeIdle(address);
                        }
                        future.completeExceptionally(opened.cause());
                    }
                });
        return future;
    }

    private TimeLimit limit(Duration timeout) {
        Ticker ticker = mGroup.next().ticker();
        return new TimeLimit(timeout, ticker, ticker.nanoTime() + timeout.toNanos());
    }

    /**
     * Time within which a call must have its response.
     *
     * @param endNanos end of the time by the ticker
     */
    private record TimeLimit(Duration timeout, Ticker ticker, long endNanos) {
        long remainingNanos() {
            return endNanos - ticker.nanoTime();
        }

        TimeoutException exceeded(Address address) {
            return new TimeoutException(
                    "no response from " + address + " in " + timeout.toMillis() + " ms");
        }
    }

    private Optional<ClientConnection> pollIdle(Address address) {
        Queue<ClientConnection> idle = mIdleConnections.get(address);
        ClientConnection connection = idle == null ? null : idle.poll();
        while (connection != null && !connection.isActive()) {
            connection = idle.poll();
        }
        return Optional.ofNullable(connection);
    }

    private void offerIdle(Address address, ClientConnection connection) {
        Queue<ClientConnection> idle =
                mIdleConnections.computeIfAbsent(
                        address, a -> new ArrayBlockingQueue<>(MAX_IDLE_CONNECTIONS_PER_ADDRESS));
        if (!idle.offer(connection)) {
            connection.close();
        }
    }

    /** Closes the idle connections to an address. */
    private void closeIdle(Address address) {
        Queue<ClientConnection> idle = mIdleConnections.get(address);
        ClientConnection connection = idle == null ? null : idle.poll();
        while (connection != null) {
            connection.close();
            connection = idle.poll();
        }
    }

    private ChannelFuture connect(
            Address address, Duration timeout, Consumer<Channel> initializer) {
        ChannelHandler channelInitializer =
                new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initializer.accept(channel);
                    }
                };
        return KeepAliveProbes.enable(new Bootstrap())
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis(timeout))
                .handler(channelInitializer)
                .connect(address.host(), address.port());
    }

    private static int connectTimeoutMillis(Duration timeout) {
        return (int) Math.min(timeout.toMillis(), MAX_CONNECT_TIMEOUT_MILLIS);
    }

    private static DefaultFullHttpRequest toRequest(Address address, HttpCall call) {
        ByteBuf body = Unpooled.wrappedBuffer(call.body());
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(call.method()), call.uri(), body);
        call.headers().forEach(request.headers()::set);
        request.headers().set(HttpHeaderNames.HOST, address.toString());
        HttpUtil.setContentLength(request, call.body().length);
        return request;
    }

    /**
     * One connection, which carries one request at a time. {@code isActive}, {@code close}, {@code
     * giveUp} and {@code send} are thread-safe; the fields except {@code mChannel} are confined to
     * the event loop of the channel.
     */
    private static final class ClientConnection
            extends SimpleChannelInboundHandler<FullHttpResponse>
            implements ReceiveLimiter.Listener {
        private final ReceiveLimiter mLimiter;
        private final ResponseDecoder mDecoder = new ResponseDecoder();
        private final PeerKind mPeerKind;
        private final BiConsumer<Address, ClientConnection> mOnIdle;
        private final Consumer<Address> mOnSilence;
        private volatile Channel mChannel;
        private Address mAddress;
        private CompletableFuture<HttpReply> mPendingReply;
        private ScheduledFuture<?> mTimeout;

        ClientConnection(
                int maxReplyBytes,
                PeerKind peerKind,
                BiConsumer<Address, ClientConnection> onIdle,
                Consumer<Address> onSilence) {
            mLimiter = new ReceiveLimiter((long) maxReplyBytes + MAX_FRAMING_BYTES, this);
            mPeerKind = peerKind;
            mOnIdle = onIdle;
            mOnSilence = onSilence;
        }

        ReceiveLimiter limiter() {
            return mLimiter;
        }

        ResponseDecoder decoder() {
            return mDecoder;
        }

        boolean isActive() {
            return mChannel.isActive();
        }

        void close() {
            mChannel.close();
        }

        void send(
                Address address,
                HttpCall call,
                TimeLimit limit,
                CompletableFuture<HttpReply> future) {
            mChannel.eventLoop().execute(() -> sendNow(address, call, limit, future));
            future.whenComplete(
                    (reply, error) -> {
                        if (future.isCancelled()) {
                            // At once, so that the call that replaces this one uses none of them.
                            mOnSilence.accept(address);
                            mChannel.eventLoop().execute(() -> onCancelled(future));
                        }
                    });
        }

        private void onCancelled(CompletableFuture<HttpReply> future) {
            if (mPendingReply == future) {
                fail(new CancellationException());
            }
        }

        private void onSilence(Throwable cause) {
            mOnSilence.accept(mAddress);
            fail(cause);
        }

        private void sendNow(
                Address address,
                HttpCall call,
                TimeLimit limit,
                CompletableFuture<HttpReply> future) {
            if (!mChannel.isActive()) {
                future.completeExceptionally(new IOException("pooled connection is closed"));
                return;
            }
            if (future.isCancelled()) {
                close();
                return;
            }
            mAddress = address;
            mPendingReply = future;
            long remainingNanos = limit.remainingNanos();
            mTimeout =
                    mChannel.eventLoop()
                            .schedule(
                                    () -> onSilence(limit.exceeded(address)),
                                    remainingNanos,
                                    TimeUnit.NANOSECONDS);
            if (remainingNanos <= 0) {
                fail(limit.exceeded(address));
                return;
            }
            mLimiter.onRequest();
            DefaultFullHttpRequest request = toRequest(address, call);
            mDecoder.onRequest(request.method());
            mChannel.writeAndFlush(request);
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            mChannel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                fail(new IOException("reply cannot be parsed", response.decoderResult().cause()));
                return;
            }
            if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                return;
            }
            ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
            response.headers()
                    .forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
            mLimiter.onResponseEnd();
            HttpReply reply =
                    new HttpReply(
                            response.status().code(),
                            headers.buildKeepingLast(),
                            ByteBufUtil.getBytes(response.content()));
            CompletableFuture<HttpReply> future = mPendingReply;
            boolean reusable =
                    HttpUtil.isKeepAlive(response)
                            && !mDecoder.hasUndecodedBytes()
                            && mPeerKind.isReusableAfter(reply.status());
            if (future == null || !reusable) {
                context.close();
            }
            if (future != null) {
                mPendingReply = null;
                mTimeout.cancel(false);
                if (reusable) {
                    mOnIdle.accept(mAddress, this);
                }
                future.complete(reply);
            }
        }

        @Override
        public void onTooManyBytes() {
            fail(
                    new IOException(
                            "reply exceeds the limit, received "
                                    + mLimiter.receivedBytes()
                                    + " bytes"));
        }

        @Override
        public void onUnsolicitedBytes() {
            mChannel.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(new IOException("connection closed before the response"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause);
        }

        private void fail(Throwable cause) {
            mPeerKind.giveUp(mChannel);
            CompletableFuture<HttpReply> future = mPendingReply;
            mPendingReply = null;
            if (future != null) {
                mTimeout.cancel(false);
                future.completeExceptionally(cause);
            }
        }
    }
}

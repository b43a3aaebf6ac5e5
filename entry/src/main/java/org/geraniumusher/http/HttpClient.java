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
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;

import org.geraniumusher.model.Address;

import java.io.IOException;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Makes control calls on connections that are kept open. A failed future means that nothing is
 * known about the effect of the call. Thread-safe; never blocks.
 */
public final class HttpClient {
    private static final int MAX_IDLE_PER_ADDRESS = 4;

    /** A peer that does not accept a connection in this time is not there. */
    private static final long MAX_CONNECT_MILLIS = 1_000;

    private final EventLoopGroup mGroup;
    private final Map<Address, Queue<ReplyHandler>> mIdle = new ConcurrentHashMap<>();

    private HttpClient(EventLoopGroup group) {
        mGroup = checkNotNull(group);
    }

    /** Returns a client that runs on {@code group}. */
    public static HttpClient create(EventLoopGroup group) {
        return new HttpClient(group);
    }

    /** Makes a call; fails the future on connection errors and when {@code timeout} passes. */
    public CompletableFuture<HttpReply> call(Address address, HttpCall call, Duration timeout) {
        Optional<ReplyHandler> idle = takeIdle(address);
        if (idle.isEmpty()) {
            return callOnNew(address, call, timeout);
        }
        CompletableFuture<HttpReply> future = new CompletableFuture<>();
        idle.get().send(address, call, timeout, future);
        return call.method().equals("GET")
                ? future.handle((reply, error) -> orOnNew(reply, error, address, call, timeout))
                        .thenCompose(result -> result)
                : future;
    }

    /** A peer that was restarted has closed the idle connections; reading again does no harm. */
    private CompletableFuture<HttpReply> orOnNew(
            HttpReply reply, Throwable error, Address address, HttpCall call, Duration timeout) {
        if (error == null) {
            return CompletableFuture.completedFuture(reply);
        }
        return error instanceof IOException
                ? callOnNew(address, call, timeout)
                : CompletableFuture.failedFuture(error);
    }

    private CompletableFuture<HttpReply> callOnNew(
            Address address, HttpCall call, Duration timeout) {
        CompletableFuture<HttpReply> future = new CompletableFuture<>();
        ReplyHandler handler = new ReplyHandler(this::putIdle);
        ChannelFuture connecting =
                open(
                        address,
                        timeout,
                        channel ->
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(
                                                new HttpObjectAggregator(
                                                        HttpServer.MAX_BODY_BYTES * 4))
                                        .addLast(handler));
        connecting.addListener(
                (ChannelFuture opened) -> {
                    if (opened.isSuccess()) {
                        handler.send(address, call, timeout, future);
                    } else {
                        future.completeExceptionally(opened.cause());
                    }
                });
        return future;
    }

    private Optional<ReplyHandler> takeIdle(Address address) {
        Queue<ReplyHandler> idle = mIdle.get(address);
        ReplyHandler handler = idle == null ? null : idle.poll();
        while (handler != null && !handler.isActive()) {
            handler = idle.poll();
        }
        return Optional.ofNullable(handler);
    }

    private void putIdle(Address address, ReplyHandler handler) {
        Queue<ReplyHandler> idle =
                mIdle.computeIfAbsent(address, a -> new ArrayBlockingQueue<>(MAX_IDLE_PER_ADDRESS));
        if (!idle.offer(handler)) {
            handler.close();
        }
    }

    private ChannelFuture open(Address address, Duration timeout, Consumer<Channel> pipeline) {
        ChannelHandler initializer =
                new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        pipeline.accept(channel);
                    }
                };
        return KeepAliveProbes.enable(new Bootstrap())
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis(timeout))
                .handler(initializer)
                .connect(address.host(), address.port());
    }

    private static int connectMillis(Duration timeout) {
        return (int) Math.min(timeout.toMillis(), MAX_CONNECT_MILLIS);
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
     * Makes the calls of one connection, one at a time. The fields are confined to the event loop
     * of the channel.
     */
    private static final class ReplyHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final BiConsumer<Address, ReplyHandler> mWhenIdle;
        private volatile Channel mChannel;
        private Address mAddress;
        private CompletableFuture<HttpReply> mFuture;
        private ScheduledFuture<?> mTimeout;

        ReplyHandler(BiConsumer<Address, ReplyHandler> whenIdle) {
            mWhenIdle = whenIdle;
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
                Duration timeout,
                CompletableFuture<HttpReply> future) {
            mChannel.eventLoop().execute(() -> sendNow(address, call, timeout, future));
        }

        private void sendNow(
                Address address,
                HttpCall call,
                Duration timeout,
                CompletableFuture<HttpReply> future) {
            if (!mChannel.isActive()) {
                future.completeExceptionally(new IOException("connection was closed while idle"));
                return;
            }
            mAddress = address;
            mFuture = future;
            mTimeout =
                    mChannel.eventLoop()
                            .schedule(
                                    () -> fail(new TimeoutException("no reply")),
                                    timeout.toMillis(),
                                    TimeUnit.MILLISECONDS);
            mChannel.writeAndFlush(toRequest(address, call));
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            mChannel = context.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
            response.headers()
                    .forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
            HttpReply reply =
                    new HttpReply(
                            response.status().code(),
                            headers.buildKeepingLast(),
                            ByteBufUtil.getBytes(response.content()));
            CompletableFuture<HttpReply> future = mFuture;
            if (future == null || !HttpUtil.isKeepAlive(response)) {
                context.close();
            }
            if (future != null) {
                mFuture = null;
                mTimeout.cancel(false);
                if (HttpUtil.isKeepAlive(response)) {
                    mWhenIdle.accept(mAddress, this);
                }
                future.complete(reply);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(new IOException("connection closed before the reply"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause);
        }

        private void fail(Throwable cause) {
            mChannel.close();
            CompletableFuture<HttpReply> future = mFuture;
            mFuture = null;
            if (future != null) {
                mTimeout.cancel(false);
                future.completeExceptionally(cause);
            }
        }
    }
}

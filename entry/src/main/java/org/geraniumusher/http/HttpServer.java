package org.geraniumusher.http;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;

import org.geraniumusher.model.Address;

import java.util.Locale;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * HTTP server for control traffic. It passes each request to a handler once the complete body, of
 * at most {@link #MAX_BODY_BYTES}, has arrived. The handler runs on an event loop and must not
 * block. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {
    /** Largest request body, in bytes. Values in the object API are at most 1 MB. */
    public static final int MAX_BODY_BYTES = 2 << 20;

    /** Time without received data after which a connection is closed. */
    private static final int IDLE_TIMEOUT_SECONDS = 600;

    private final TcpListener mListener;

    private HttpServer(TcpListener listener) {
        mListener = listener;
    }

    /**
     * Starts a server on {@code address}. For any free port, which {@link Address} cannot express,
     * use {@link #bind}.
     *
     * @param onAcceptFailure receives, on the event loop, why a connection could not be accepted
     * @throws IllegalStateException if the address cannot be bound
     */
    public static HttpServer create(
            EventLoopGroup group,
            Address address,
            BiConsumer<HttpCall, Responder> handler,
            Consumer<Throwable> onAcceptFailure) {
        return bind(group, address.host(), address.port(), handler, onAcceptFailure);
    }

    /**
     * Starts a server as {@link #create(EventLoopGroup, Address, BiConsumer, Consumer)} does, which
     * leaves connections of another protocol to it.
     */
    public static HttpServer create(
            EventLoopGroup group,
            Address address,
            BiConsumer<HttpCall, Responder> handler,
            Consumer<Throwable> onAcceptFailure,
            OtherProtocol other) {
        return bind(
                group,
                address.host(),
                address.port(),
                channel -> {
                    other.configure(channel);
                    channel.pipeline().addLast(new PrefaceDetector(other));
                    initialize(channel, handler);
                },
                onAcceptFailure);
    }

    /**
     * Starts a server on a host and a port, where port 0 means any free port. Must not be called on
     * an event loop of {@code group}.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    public static HttpServer bind(
            EventLoopGroup group, String host, int port, BiConsumer<HttpCall, Responder> handler) {
        return bind(group, host, port, handler, failure -> {});
    }

    private static HttpServer bind(
            EventLoopGroup group,
            String host,
            int port,
            BiConsumer<HttpCall, Responder> handler,
            Consumer<Throwable> onAcceptFailure) {
        checkNotNull(handler);
        return bind(group, host, port, channel -> initialize(channel, handler), onAcceptFailure);
    }

    private static HttpServer bind(
            EventLoopGroup group,
            String host,
            int port,
            Consumer<SocketChannel> initializer,
            Consumer<Throwable> onAcceptFailure) {
        return new HttpServer(
                TcpListener.bind(group, host, port, true, initializer, onAcceptFailure));
    }

    /** Returns the bound address. */
    public Address address() {
        return mListener.address();
    }

    /**
     * Closes the listening socket and all connections, and waits until they are closed. Must not be
     * called on an event loop.
     */
    @Override
    public void close() {
        mListener.close();
    }

    private static void initialize(SocketChannel channel, BiConsumer<HttpCall, Responder> handler) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new RequestHandler(handler));
    }

    /** Passes complete requests of one connection to the handler. */
    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final BiConsumer<HttpCall, Responder> mHandler;

        RequestHandler(BiConsumer<HttpCall, Responder> handler) {
            mHandler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            ImmutableMap.Builder<String, String> headers = ImmutableMap.builder();
            request.headers()
                    .forEach(h -> headers.put(h.getKey().toLowerCase(Locale.ROOT), h.getValue()));
            HttpCall call =
                    new HttpCall(
                            request.method().name(),
                            request.uri(),
                            headers.buildKeepingLast(),
                            ByteBufUtil.getBytes(request.content()));
            mHandler.accept(call, new ChannelResponder(context, HttpUtil.isKeepAlive(request)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Sends the response to one request on its connection. */
    private static final class ChannelResponder implements Responder {
        private final ChannelHandlerContext mContext;
        private final boolean mKeepAlive;

        ChannelResponder(ChannelHandlerContext context, boolean keepAlive) {
            mContext = context;
            mKeepAlive = keepAlive;
        }

        @Override
        public void reply(HttpReply reply) {
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(reply.body()));
            reply.headers().forEach(response.headers()::set);
            HttpUtil.setContentLength(response, reply.body().length);
            HttpUtil.setKeepAlive(response, mKeepAlive);
            var written = mContext.writeAndFlush(response);
            if (!mKeepAlive) {
                written.addListener(done -> LingeringClose.closeAfterResponse(mContext.channel()));
            }
        }

        @Override
        public void drop() {
            mContext.close();
        }
    }
}

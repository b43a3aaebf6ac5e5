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

/**
 * Serves control calls with whole bodies of at most {@link #MAX_BODY_BYTES}. The handler runs on an
 * event loop and must not block. Thread-safe.
 */
public final class HttpServer implements AutoCloseable {
    /** Largest request body, in bytes; the object API holds values of up to 1 MB. */
    public static final int MAX_BODY_BYTES = 2 << 20;

    private static final int IDLE_TIMEOUT_SECONDS = 600;

    private final TcpListener mListener;

    private HttpServer(TcpListener listener) {
        mListener = listener;
    }

    /** Binds {@code address}; port 0 is not allowed by {@link Address}, see {@link #bind}. */
    public static HttpServer create(
            EventLoopGroup group, Address address, BiConsumer<HttpCall, Responder> handler) {
        return bind(group, address.host(), address.port(), handler);
    }

    /** Binds a host and a port, where 0 means any free port; throws when it cannot. */
    public static HttpServer bind(
            EventLoopGroup group, String host, int port, BiConsumer<HttpCall, Responder> handler) {
        checkNotNull(handler);
        return new HttpServer(
                TcpListener.bind(
                        group, host, port, true, channel -> buildPipeline(channel, handler)));
    }

    /** Returns the bound address. */
    public Address address() {
        return mListener.address();
    }

    /** Closes the listening socket and all connections. */
    @Override
    public void close() {
        mListener.close();
    }

    private static void buildPipeline(
            SocketChannel channel, BiConsumer<HttpCall, Responder> handler) {
        channel.pipeline()
                .addLast(new ReadTimeoutHandler(IDLE_TIMEOUT_SECONDS))
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                .addLast(new CallHandler(handler));
    }

    /** Turns a request into a call. */
    private static final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final BiConsumer<HttpCall, Responder> mHandler;

        CallHandler(BiConsumer<HttpCall, Responder> handler) {
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

    /** Writes the answer of one call. */
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
                written.addListener(done -> mContext.close());
            }
        }

        @Override
        public void drop() {
            mContext.close();
        }
    }
}

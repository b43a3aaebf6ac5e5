package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

/** Guards the client against servers that send anything but one reply to each call. */
final class HttpClientTest {
    /** So long that a call that ends within {@link #LATEST_END_SECONDS} was not timed out. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

    private static final int LATEST_END_SECONDS = 10;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.create(mGroup);
    private TcpListener mListener;

    @AfterEach
    void stop() {
        mListener.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Answers each request with {@code head}, then sends {@code filler} without end if not empty.
     */
    private void startServer(String head, String filler) {
        mListener =
                TcpListener.bind(
                        mGroup,
                        "127.0.0.1",
                        0,
                        true,
                        (SocketChannel channel) ->
                                channel.pipeline().addLast(new RawServer(head, filler)));
    }

    private CompletableFuture<HttpReply> call() {
        return mClient.call(mListener.address(), HttpCall.of("POST", "/grant"), CALL_TIMEOUT);
    }

    /** Bytes that are no reply must not be reported as a reply, of whatever status. */
    @Test
    void call_replyCannotBeParsed_fails() {
        startServer("HTTP/1.1 abc def\r\n\r\n", "");

        ExecutionException failure =
                assertThrows(
                        ExecutionException.class,
                        () -> call().get(LATEST_END_SECONDS, TimeUnit.SECONDS));

        assertThat(failure).hasMessageThat().contains("cannot be parsed");
    }

    /** A chunk size that is not a number makes the whole reply unusable. */
    @Test
    void call_bodyCannotBeParsed_fails() {
        startServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\nnone\r\n", "");

        assertThrows(
                ExecutionException.class, () -> call().get(LATEST_END_SECONDS, TimeUnit.SECONDS));
    }

    /** An interim response is not the reply; the one that follows it is. */
    @Test
    void call_interimResponseFirst_replyIsReturned() throws Exception {
        startServer(
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");

        HttpReply reply = call().get(LATEST_END_SECONDS, TimeUnit.SECONDS);

        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.text()).isEqualTo("ok");
    }

    /** Sends its bytes on each read, whatever the request is. */
    private final class RawServer extends ChannelInboundHandlerAdapter {
        private final String mHead;
        private final String mFiller;

        RawServer(String head, String filler) {
            mHead = head;
            mFiller = filler;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            send(context, mHead);
        }

        private void send(ChannelHandlerContext context, String text) {
            ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
            context.writeAndFlush(bytes)
                    .addListener((ChannelFuture sent) -> onSent(context, sent, text.length()));
        }

        private void onSent(ChannelHandlerContext context, ChannelFuture sent, int length) {
            if (sent.isSuccess() && !mFiller.isEmpty()) {
                // The delay keeps the parts apart.
                context.executor()
                        .schedule(() -> send(context, mFiller), 200, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}

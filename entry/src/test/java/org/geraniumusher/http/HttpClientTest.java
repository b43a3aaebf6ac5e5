package org.geraniumusher.http;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.base.Strings;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.ReferenceCountUtil;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Guards the client against servers that send anything but one reply to each call. */
final class HttpClientTest {
    private static final int MAX_REPLY_BYTES = 64 << 10;

    /** Bytes in the socket buffers of both sides, of at most 10 MiB on Linux, and one read. */
    private static final long SOCKET_BUFFER_BYTES = 11 << 20;

    /** So long that a call that ends within {@link #LATEST_END_SECONDS} was not timed out. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60);

    private static final int LATEST_END_SECONDS = 10;

    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(200);
    private static final int SILENT_CONNECTIONS = 3;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient mClient =
            HttpClient.create(mGroup, MAX_REPLY_BYTES, PeerKind.DAEMON_OR_STORE);
    private final CountDownLatch mConnectionClosed = new CountDownLatch(1);
    private final CountDownLatch mSilentConnectionsClosed = new CountDownLatch(SILENT_CONNECTIONS);
    private final AtomicLong mBytesSent = new AtomicLong();
    private TcpListener mListener;

    /** Connections whose first request has no reply yet, and how many were opened in all. */
    private final List<ChannelHandlerContext> mUnanswered = new ArrayList<>();

    private int mOpened;

    /** Replies without end. */
    enum Endless {
        CONTROL_CHARACTERS("", Strings.repeat("\r\n", 500)),
        INTERIM_RESPONSES("", Strings.repeat("HTTP/1.1 100 Continue\r\n\r\n", 10)),
        CHUNK_EXTENSIONS(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1;x=" + Strings.repeat("y", 2_000) + "\r\nz\r\n"),
        BODY_WITHOUT_LENGTH("HTTP/1.1 200 OK\r\n\r\n", Strings.repeat("x", 1_000)),
        STATUS_LINE("HTTP/1.1 200 ", Strings.repeat("x", 100));

        private final String mHead;
        private final String mFiller;

        Endless(String head, String filler) {
            mHead = head;
            mFiller = filler;
        }
    }

    @AfterEach
    void stop() {
        mListener.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Answers each request with {@code head}, then sends {@code filler} without end if not empty.
     */
    private void startServer(String head, String filler) {
        listen(() -> new RawServer(head, filler));
    }

    private void listen(Supplier<ChannelHandler> server) {
        mListener =
                TcpListener.bind(
                        mGroup,
                        "127.0.0.1",
                        0,
                        true,
                        (SocketChannel channel) -> channel.pipeline().addLast(server.get()));
    }

    private CompletableFuture<HttpReply> call() {
        return mClient.call(mListener.address(), HttpCall.of("POST", "/grant"), CALL_TIMEOUT);
    }

    /** A reply without end must end its call by its size, not by the timeout. */
    @ParameterizedTest
    @EnumSource
    void call_replyWithoutEnd_failsAndConnectionIsClosed(Endless endless) throws Exception {
        startServer(endless.mHead, endless.mFiller);

        CompletableFuture<HttpReply> reply = call();

        assertThrows(
                ExecutionException.class, () -> reply.get(LATEST_END_SECONDS, TimeUnit.SECONDS));
        assertThat(mConnectionClosed.await(LATEST_END_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(mBytesSent.get()).isLessThan(2 * MAX_REPLY_BYTES + SOCKET_BUFFER_BYTES);
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

    /** A pooled connection must not be read for as long as the server sends. */
    @Test
    void call_bytesAfterReplyWithoutEnd_replyIsReturnedAndConnectionIsClosed() throws Exception {
        startServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "\r\n");

        HttpReply reply = call().get(LATEST_END_SECONDS, TimeUnit.SECONDS);

        assertThat(reply.text()).isEqualTo("ok");
        assertThat(mConnectionClosed.await(LATEST_END_SECONDS, TimeUnit.SECONDS)).isTrue();
    }

    /** A reply within the limit is returned whole. */
    @Test
    void call_replyOfMaximumSize_isReturned() throws Exception {
        startServer(
                "HTTP/1.1 200 OK\r\nContent-Length: "
                        + MAX_REPLY_BYTES
                        + "\r\n\r\n"
                        + Strings.repeat("x", MAX_REPLY_BYTES),
                "");

        HttpReply reply = call().get(LATEST_END_SECONDS, TimeUnit.SECONDS);

        assertThat(reply.body()).hasLength(MAX_REPLY_BYTES);
    }

    private static String get(CompletableFuture<HttpReply> reply) throws Exception {
        return reply.get(LATEST_END_SECONDS, TimeUnit.SECONDS).text();
    }

    private CompletableFuture<HttpReply> get(Duration timeout) {
        return mClient.call(mListener.address(), HttpCall.of("GET", "/objects"), timeout);
    }

    /** Opens connections that a network then forgets; both of their ends stay open. */
    private void openSilentIdleConnections(int count) throws Exception {
        listen(SilentAfterFirstReply::new);
        List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            replies.add(get(CALL_TIMEOUT));
        }
        for (CompletableFuture<HttpReply> reply : replies) {
            assertThat(get(reply)).isEqualTo("ok");
        }
    }

    /** Each of the idle connections cost another call its whole time. */
    @Test
    void call_idleConnectionsAreSilent_onlyTheFirstCallTimesOut() throws Exception {
        openSilentIdleConnections(SILENT_CONNECTIONS);

        assertThrows(ExecutionException.class, () -> get(get(SHORT_TIMEOUT)));

        assertThat(get(get(CALL_TIMEOUT))).isEqualTo("ok");
    }

    /** A call that was given up kept its connection until the time of the call was over. */
    @Test
    void call_isCancelled_connectionIsClosedAndNextCallIsAnswered() throws Exception {
        openSilentIdleConnections(SILENT_CONNECTIONS);

        get(CALL_TIMEOUT).cancel(false);

        assertThat(mSilentConnectionsClosed.await(LATEST_END_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(get(get(CALL_TIMEOUT))).isEqualTo("ok");
    }

    /**
     * Replies to the first request of a connection once all silent connections are open. A reply
     * before that would have the next call use the connection, which is silent from then on.
     */
    private synchronized void replyOnceAllAreOpen(ChannelHandlerContext context) {
        mUnanswered.add(context);
        if (++mOpened < SILENT_CONNECTIONS) {
            return;
        }
        for (ChannelHandlerContext unanswered : mUnanswered) {
            unanswered.writeAndFlush(
                    Unpooled.copiedBuffer(
                            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                            StandardCharsets.ISO_8859_1));
        }
        mUnanswered.clear();
    }

    /** Replies to the first request of a connection and to no other. */
    private final class SilentAfterFirstReply extends ChannelInboundHandlerAdapter {
        private boolean mReplied;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
            if (!mReplied) {
                mReplied = true;
                replyOnceAllAreOpen(context);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mSilentConnectionsClosed.countDown();
        }
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
                mBytesSent.addAndGet(length);
                // The delay keeps the parts apart.
                context.executor()
                        .schedule(() -> send(context, mFiller), 200, TimeUnit.MICROSECONDS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mConnectionClosed.countDown();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}

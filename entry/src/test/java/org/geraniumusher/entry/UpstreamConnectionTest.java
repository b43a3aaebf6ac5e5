package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;

/**
 * Guards against requests that count as possibly executed although the server reset the connection
 * before any byte was sent, and against the opposite. The event loop is blocked until the reset, so
 * that the result does not depend on the times of a run.
 */
final class UpstreamConnectionTest {
    private static final int LARGE_BODY_BYTES = 32 << 20;
    private static final HeaderNames HEADERS = new FakeWireFormat().headers();
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nid: q\r\nContent-Length: 2\r\n\r\nok";

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<String> mResult = new CompletableFuture<>();
    private final CompletableFuture<Void> mIdle = new CompletableFuture<>();
    private ServerSocket mServer;

    private final UpstreamConnection.Pool mPool =
            new UpstreamConnection.Pool() {
                @Override
                public void onIdle(UpstreamConnection connection) {
                    mIdle.complete(null);
                }

                @Override
                public void onUnsolicitedBytes(UpstreamConnection connection) {}

                @Override
                public void onSkippedResponse(SkippedResponse response) {}

                @Override
                public void onClosed(UpstreamConnection connection) {}
            };

    @BeforeEach
    void listen() throws IOException {
        mServer = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        mServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static UpstreamConnection.Listener reportTo(CompletableFuture<String> result) {
        return new UpstreamConnection.Listener() {
            @Override
            public void onResponse(UpstreamResponse response) {
                result.complete("response");
            }

            @Override
            public void onNotSent(Throwable cause) {
                result.complete("not sent");
            }

            @Override
            public void onNotAccepted(String cause) {
                result.complete("not accepted");
            }

            @Override
            public void onWithdrawn() {
                result.complete("withdrawn");
            }

            @Override
            public void onNoResponse(ResponseFailure failure) {
                result.complete("no response");
            }
        };
    }

    /** An order that is sent, or withdrawn when its connection is open. */
    private record Order(int bodyBytes, boolean maySend) implements OutgoingRequest {
        @Override
        public String id() {
            return "q";
        }

        @Override
        public FullHttpRequest build() {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.POST,
                            "/x",
                            Unpooled.wrappedBuffer(new byte[bodyBytes]));
            request.headers().set(HEADERS.requestId(), "q").set("Content-Length", bodyBytes);
            return request;
        }
    }

    private static OutgoingRequest order(int bodyBytes) {
        return new Order(bodyBytes, true);
    }

    private UpstreamConnection connect(LongSupplier clock, int bodyBytes) {
        return connect(clock, order(bodyBytes));
    }

    private UpstreamConnection connect(LongSupplier clock, OutgoingRequest order) {
        UpstreamConnection connection =
                new UpstreamConnection(mPool, clock, new ResponseBuffers(), HEADERS, new byte[0]);
        Address address = Address.of("127.0.0.1:" + mServer.getLocalPort());
        mGroup.execute(() -> connection.connectAndSend(mGroup, address, order, reportTo(mResult)));
        return connection;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            throw new IllegalStateException("cannot reset", e);
        }
    }

    private Socket accept() {
        try {
            return mServer.accept();
        } catch (IOException e) {
            throw new IllegalStateException("cannot accept", e);
        }
    }

    private String result() throws Exception {
        return mResult.get(10, TimeUnit.SECONDS);
    }

    /** The reset is there when the request is written, but the event loop has not read it. */
    @Test
    void connectAndSend_isResetWhileEventLoopStalls_isNotAccepted() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        LongSupplier clock =
                () -> {
                    int call = calls.incrementAndGet();
                    if (call == 1) {
                        return 0;
                    }
                    if (call == 2) {
                        reset(accept());
                    }
                    // The time to wait is over before the event loop reads again.
                    return -TimeUnit.SECONDS.toNanos(1);
                };
        connect(clock, 2);

        assertThat(result()).isEqualTo("not accepted");
    }

    /** The reset is there before the time to wait is over. */
    @Test
    void connectAndSend_isResetBeforeRequestIsDue_isNotAccepted() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        connect(
                () -> {
                    if (calls.incrementAndGet() > 1) {
                        reset(accept());
                    }
                    return 0;
                },
                2);

        assertThat(result()).isEqualTo("not accepted");
    }

    /** It used to be taken for the response to the request, which was then sent all the same. */
    @Test
    void connectAndSend_responseComesBeforeRequestIsDue_isNotAccepted() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        connect(
                () -> {
                    if (calls.incrementAndGet() == 2) {
                        respond(accept());
                    }
                    return 0;
                },
                2);

        assertThat(result()).isEqualTo("not accepted");
    }

    private static void respond(Socket socket) {
        try {
            socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            throw new IllegalStateException("cannot respond", e);
        }
    }

    /** The reset of an idle connection is there when the next request is written, but not read. */
    @Test
    void send_idleConnectionIsResetBeforeWrite_isNotAccepted() throws Exception {
        CompletableFuture<String> second = new CompletableFuture<>();
        UpstreamConnection connection = connect(System::nanoTime, 2);
        Socket socket = accept();
        socket.getInputStream().read();
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(result()).isEqualTo("response");
        mIdle.get(10, TimeUnit.SECONDS);

        mGroup.execute(
                () -> {
                    reset(socket);
                    connection.send(order(2), reportTo(second));
                });

        assertThat(second.get(10, TimeUnit.SECONDS)).isEqualTo("not accepted");
    }

    /** The server may have read what was written before the reset, so it may have executed it. */
    @Test
    void connectAndSend_isResetAfterRequestArrived_hasNoResponse() throws Exception {
        connect(System::nanoTime, 2);
        Socket socket = accept();
        socket.getInputStream().read();
        reset(socket);

        assertThat(result()).isEqualTo("no response");
    }

    /** A part of the request left the daemon: that is no proof that it was not executed. */
    @Test
    void connectAndSend_isResetAfterPartOfRequest_hasNoResponse() throws Exception {
        connect(System::nanoTime, LARGE_BODY_BYTES);
        Socket socket = accept();
        socket.getInputStream().read();
        reset(socket);

        assertThat(result()).isEqualTo("no response");
    }

    /** A request used to be sent although its caller or its server had left in the meantime. */
    @Test
    void connectAndSend_requestMayNotBeSentAnyMore_isWithdrawn() throws Exception {
        CompletableFuture<String> second = new CompletableFuture<>();
        UpstreamConnection connection = connect(System::nanoTime, new Order(2, false));
        Socket socket = accept();

        assertThat(result()).isEqualTo("withdrawn");

        mIdle.get(10, TimeUnit.SECONDS);
        mGroup.execute(() -> connection.send(order(2), reportTo(second)));
        String head = readHead(socket);
        socket.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.ISO_8859_1));
        assertThat(second.get(10, TimeUnit.SECONDS)).isEqualTo("response");
        // The connection carried one request in all, and its body is behind this head.
        assertThat(head).startsWith("POST /x ");
        assertThat(socket.getInputStream().readNBytes(2)).hasLength(2);
        assertThat(socket.getInputStream().available()).isEqualTo(0);
    }

    private static String readHead(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) socket.getInputStream().read());
        }
        return head.toString();
    }
}

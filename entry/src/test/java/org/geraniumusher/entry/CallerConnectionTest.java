package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Checks when a connection of a caller is idle and when it is closed, on a channel whose writes the
 * test completes. The daemon has no configuration, so it answers each request at once.
 */
final class CallerConnectionTest {
    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final HeldWrites mWrites = new HeldWrites();
    private boolean mStopping;
    private final CallerConnection mConnection = createConnection();
    private final EmbeddedChannel mChannel = new EmbeddedChannel(mWrites, mConnection);

    /** Keeps writes incomplete until the test completes them, as a narrow link does. */
    private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
        private final Queue<ChannelPromise> mPromises = new ArrayDeque<>();

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mPromises.add(promise);
        }

        void failNext() {
            mPromises.remove().setFailure(new IllegalArgumentException("cannot be encoded"));
        }

        void completeNext() {
            mPromises.remove().setSuccess();
        }
    }

    private CallerConnection createConnection() {
        DaemonContext context = mFixture.createContext("entry-1");
        FakeWireFormat wire = new FakeWireFormat();
        Dispatcher dispatcher =
                new Dispatcher(
                        context,
                        wire,
                        null,
                        new CoordinatorService(context),
                        null,
                        new KeyedRequestStats(),
                        mFixture.createCrashMonitor(context));
        return new CallerConnection(
                RequestSource.CALLER,
                dispatcher,
                wire.headers(),
                RequestIds.create("entry-1", 1),
                context.clock(),
                () -> mStopping,
                context.metrics(),
                context.log());
    }

    @AfterEach
    void close() {
        mChannel.close();
        mFixture.close();
    }

    private static FullHttpRequest request() {
        return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x/");
    }

    private boolean isIdle() {
        return mConnection.isIdleFor(0, mFixture.thread().now());
    }

    /** While the daemon stopped, it closed connections whose response was still being sent. */
    @Test
    void isIdleFor_responseIsBeingSent_notIdle() {
        mChannel.writeInbound(request());

        assertThat(isIdle()).isFalse();

        mWrites.completeNext();
        assertThat(isIdle()).isTrue();
    }

    /** The same for a last response, after which the connection closes by itself. */
    @Test
    void isIdleFor_lastResponseIsBeingSent_notIdle() {
        mStopping = true;
        mChannel.writeInbound(request());

        assertThat(isIdle()).isFalse();
        assertThat(mChannel.isActive()).isTrue();
    }

    /** A slow response used to count as idle time, so that the idle timeout could cut it. */
    @Test
    void isIdleFor_responseTookLong_idleTimeStartsWhenItIsSent() {
        mChannel.writeInbound(request());
        mFixture.thread().advance(10);
        mWrites.completeNext();

        assertThat(mConnection.isIdleFor(1, mFixture.thread().now())).isFalse();

        mFixture.thread().advance(1);
        assertThat(mConnection.isIdleFor(1, mFixture.thread().now())).isTrue();
    }

    /** A caller that stopped reading kept its connection and its responses in memory for ever. */
    @Test
    void isStalledFor_nothingIsSent_stalledAfterTheTime() {
        mChannel.writeInbound(request());

        assertThat(isStalledFor(1)).isFalse();
        mFixture.thread().advance(1);
        assertThat(isStalledFor(1)).isTrue();

        mWrites.completeNext();
        assertThat(isStalledFor(1)).isFalse();
    }

    private boolean isStalledFor(long nanos) {
        return mConnection.isStalledFor(mChannel, nanos, mFixture.thread().now());
    }

    /** After a failed write, the next response was taken for the one that was not sent. */
    @Test
    void response_cannotBeSent_connectionCloses() {
        mChannel.writeInbound(request());

        mWrites.failNext();
        mChannel.runPendingTasks();

        assertThat(mChannel.isActive()).isFalse();
    }

    /** A request that asks for it closes its connection once its response is sent. */
    @Test
    void response_requestAsksToClose_closesAfterTheResponse() {
        FullHttpRequest request = request();
        request.headers().set(HttpHeaderNames.CONNECTION, "close");
        mChannel.writeInbound(request);
        assertThat(mChannel.isActive()).isTrue();

        mWrites.completeNext();
        mChannel.runPendingTasks();

        assertThat(mChannel.isActive()).isFalse();
    }

    /** A caller's complaint of a 400 or 413 could not be found in the log. */
    @Test
    void channelRead_requestBreaksLimit_isLogged() {
        FullHttpRequest rejected = request();
        rejected.headers().set("id", "q1");
        rejected.setDecoderResult(
                DecoderResult.failure(new TooLongHttpContentException("body is too long")));

        mChannel.writeInbound(rejected);

        assertThat(mFixture.closeAndReadLog())
                .contains(
                        "\"Request rejected, it breaks HTTP or a size limit\",\"id\":\"q1\","
                                + "\"result\":\"BODY_TOO_LARGE\",\"reason\":\"body is too long\"");
    }
}

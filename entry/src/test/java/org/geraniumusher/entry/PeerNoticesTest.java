package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.Address;
import org.geraniumusher.operator.MetricText;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Guards against notices that arrive out of order, or that pile up in memory while a peer does not
 * answer.
 */
final class PeerNoticesTest {
    private static final int NOTICES = 20;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> mPaths = new ArrayList<>();
    private final CompletableFuture<Responder> mFirst = new CompletableFuture<>();
    private final CompletableFuture<Void> mLast = new CompletableFuture<>();
    private final HttpServer mPeer = HttpServer.bind(mGroup, "127.0.0.1", 0, this::answer);

    /** Leaves the first notice to the test and answers the others. */
    private void answer(HttpCall call, Responder responder) {
        mPaths.add(call.path());
        if (mPaths.size() == 1) {
            mFirst.complete(responder);
            return;
        }
        responder.reply(HttpReply.of(200, "{}"));
        if (call.path().equals("/" + NOTICES)) {
            mLast.complete(null);
        }
    }

    @AfterEach
    void close() {
        mPeer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mFixture.close();
    }

    @Test
    void send_peerDoesNotAnswer_keepsTheLatestInOrder() throws Exception {
        List<Address> peers = List.of(mPeer.address());
        DaemonContext context = mFixture.createContext("entry-1");
        PeerNotices notices =
                new PeerNotices(
                        HttpClient.create(mGroup),
                        context.thread(),
                        context.clock(),
                        context.metrics());

        for (int i = 1; i <= NOTICES; i++) {
            notices.send(peers, HttpCall.of("POST", "/" + i, "{}"));
        }
        mFirst.get(10, TimeUnit.SECONDS).reply(HttpReply.of(200, "{}"));
        mLast.get(10, TimeUnit.SECONDS);

        List<String> expected = new ArrayList<>(List.of("/1"));
        for (int i = NOTICES - PeerNotices.MAX_UNSENT + 1; i <= NOTICES; i++) {
            expected.add("/" + i);
        }
        assertThat(mPaths).containsExactlyElementsIn(expected).inOrder();
        assertThat(MetricText.of(context.metrics().registry())).contains("notices.dropped count 3");
    }
}

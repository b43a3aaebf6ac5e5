package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.keyrange.NextOwner;
import org.geraniumusher.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Guards against a coordinator that runs out of file descriptors: changes that came faster than a
 * peer answered opened a connection each, to each peer.
 */
final class TableExchangeTest {
    private static final int CHANGES = 50;

    /** Time until the next owner when the test starts. */
    private static final long WAIT_MILLIS = 5_000;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Arrival> mArrivals = new LinkedBlockingQueue<>();
    private final HttpServer mPeer =
            HttpServer.bind(
                    mGroup,
                    "127.0.0.1",
                    0,
                    (call, responder) -> mArrivals.add(new Arrival(call, responder)));
    private final DaemonContext mContext = mFixture.createContext("entry-1");
    private final TableExchange mExchange = createExchange();

    private record Arrival(HttpCall call, Responder responder) {
        /** Returns the first key of the only range in a message of next owners. */
        int firstKey() {
            return nextOwner().path(0).asInt();
        }

        /** Returns the time until the next owner of that range. */
        long waitMillis() {
            return nextOwner().path(2).asLong();
        }

        private JsonNode nextOwner() {
            return DeflatedJson.decode(call).path("next_owners").path(0);
        }

        void answer() {
            responder.reply(HttpReply.of(200, "{}"));
        }
    }

    private TableExchange createExchange() {
        List<Address> peers = List.of(mPeer.address());
        return new TableExchange(mContext, () -> peers, HttpClient.create(mGroup));
    }

    @AfterEach
    void close() {
        mPeer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mFixture.close();
    }

    private void publish(int firstKey) {
        mExchange.publishNextOwners(
                "keyed",
                ImmutableList.of(
                        new NextOwner(firstKey, 1, TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS))));
    }

    private Arrival nextArrival() throws InterruptedException {
        Arrival arrival = mArrivals.poll(10, TimeUnit.SECONDS);
        assertThat(arrival).isNotNull();
        return arrival;
    }

    /** A peer without processor time or behind a cut must not cost a connection for each change. */
    @Test
    void publishNextOwners_peerDoesNotAnswer_onlyOneCallIsInFlight() throws Exception {
        for (int i = 1; i <= CHANGES; i++) {
            publish(i);
        }

        Arrival first = nextArrival();
        assertThat(first.firstKey()).isEqualTo(1);
        assertThat(mArrivals).isEmpty();

        first.answer();
        Arrival last = nextArrival();
        assertThat(last.firstKey()).isEqualTo(CHANGES);
        last.answer();
    }

    /**
     * The time until a next owner is that of the sending. One that had waited at the coordinator
     * was too late at the peer, which then rejected requests that it could have served.
     */
    @Test
    void publishNextOwners_noticeWaits_tellsTimeThatIsLeftWhenItIsSent() throws Exception {
        publish(1);
        publish(2);
        Arrival first = nextArrival();
        assertThat(first.waitMillis()).isEqualTo(WAIT_MILLIS);

        mFixture.thread().advance(TimeUnit.MILLISECONDS.toNanos(600));
        first.answer();

        assertThat(nextArrival().waitMillis()).isEqualTo(WAIT_MILLIS - 600);
    }
}

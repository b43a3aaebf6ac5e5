package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;
import org.geraniumusher.http.Responder;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Guards against a new coordinator whose table fills its link: it was sent to all daemons at once,
 * each of them then fetched it again, and the grants behind it were given up.
 */
final class TakeoverNoticesTest {
    private static final String SERVICE = "keyed";
    private static final int RANGES = 256;

    /** As many other daemons as a site of 95 has. */
    private static final int PEERS = 94;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<Arrival> mArrivals = new LinkedBlockingQueue<>();
    private final List<HttpServer> mPeers = new ArrayList<>();
    private final List<Address> mAddresses = new ArrayList<>();
    private final DaemonContext mContext = mFixture.createContext("entry-1");
    private final TableExchange mExchange =
            new TableExchange(mContext, () -> mAddresses, HttpClient.create(mGroup));

    private record Arrival(HttpCall call, Responder responder) {}

    @AfterEach
    void close() {
        mPeers.forEach(HttpServer::close);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        mFixture.close();
    }

    private void addPeers(int count) {
        for (int i = 0; i < count; i++) {
            HttpServer peer =
                    HttpServer.bind(
                            mGroup,
                            "127.0.0.1",
                            0,
                            (call, responder) -> mArrivals.add(new Arrival(call, responder)));
            mPeers.add(peer);
            mAddresses.add(peer.address());
        }
    }

    private static RangeTable table(long revision) {
        int size = (KeyRange.MAX_KEY + 1) / RANGES;
        List<Assignment> assignments = new ArrayList<>();
        for (int i = 0; i < RANGES; i++) {
            assignments.add(
                    new Assignment(
                            new KeyRange(i * size, (i + 1) * size - 1),
                            "server-" + i,
                            revision,
                            ImmutableList.of()));
        }
        return RangeTable.of(new StoreVersion(0, revision), assignments);
    }

    private Arrival nextArrival() throws InterruptedException {
        Arrival arrival = mArrivals.poll(10, TimeUnit.SECONDS);
        assertThat(arrival).isNotNull();
        return arrival;
    }

    /** All of the first table of a term is in its notice. */
    @Test
    void onTableChanges_firstTableOfTerm_isAppliedWithoutFetchingIt() throws Exception {
        addPeers(1);
        mExchange.publish(SERVICE, Optional.empty(), table(8));
        Arrival notice = nextArrival();
        DaemonContext other = mFixture.createContext("entry-2");
        TableExchange receiver =
                new TableExchange(other, () -> mAddresses, HttpClient.create(mGroup));
        other.directory().tables().updateIfNewer(SERVICE, table(5), false);

        ObjectNode body = (ObjectNode) DeflatedJson.decode(notice.call());
        receiver.onTableChanges(body.put("sender", mAddresses.get(0).toString()));

        assertThat(other.directory().table(SERVICE).orElseThrow().version())
                .isEqualTo(new StoreVersion(0, 8));
        assertThat(mArrivals.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }

    /** A daemon that misses a change got each later one as a whole table. */
    @Test
    void onTableChanges_changeWasMissed_oneFetchIsInFlight() throws Exception {
        addPeers(1);
        List<JsonNode> notices = new ArrayList<>();
        for (int revision = 6; revision < 9; revision++) {
            mExchange.publish(SERVICE, Optional.of(table(revision)), table(revision + 1));
            Arrival notice = nextArrival();
            notices.add(DeflatedJson.decode(notice.call()));
            notice.responder().reply(HttpReply.of(200, "{}"));
        }
        DaemonContext other = mFixture.createContext("entry-2");
        TableExchange receiver =
                new TableExchange(other, () -> mAddresses, HttpClient.create(mGroup));
        other.directory().tables().updateIfNewer(SERVICE, table(5), false);

        for (JsonNode notice : notices) {
            ((ObjectNode) notice).put("sender", mAddresses.get(0).toString());
            receiver.onTableChanges(notice);
        }

        assertThat(nextArrival().call().path()).isEqualTo(TableExchange.TABLES_PATH);
        assertThat(mArrivals.poll(200, TimeUnit.MILLISECONDS)).isNull();
    }

    /** Grants are given up after 0.5 s, so what is sent before them must be little. */
    @Test
    void publish_manyPeers_fewNoticesAreInFlightAndAllArrive() throws Exception {
        addPeers(PEERS);

        mExchange.publish(SERVICE, Optional.empty(), table(8));

        List<Arrival> inFlight = new ArrayList<>();
        for (Arrival a = nextArrival(); a != null; a = mArrivals.poll(300, TimeUnit.MILLISECONDS)) {
            inFlight.add(a);
        }
        assertThat(inFlight.size()).isAtMost(PEERS / 4);
        int arrived = inFlight.size();
        inFlight.forEach(a -> a.responder().reply(HttpReply.of(200, "{}")));
        while (arrived < PEERS) {
            nextArrival().responder().reply(HttpReply.of(200, "{}"));
            arrived++;
        }
    }
}

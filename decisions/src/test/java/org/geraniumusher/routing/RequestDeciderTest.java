package org.geraniumusher.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.KeySource;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Selector;
import org.geraniumusher.model.Service;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Guards against forbidden repeats, against requests that are lost while their owner changes, and
 * against slots that stay taken after a request has ended.
 */
class RequestDeciderTest {
    private static final long MILLI = 1_000_000;

    private final List<String> mOutputs = new ArrayList<>();
    private final List<Boolean> mGatewayUse = new ArrayList<>();
    private final RequestDecider mDecider =
            RequestDecider.create(
                    new RequestOutputs() {
                        @Override
                        public void dispatch(long id, Dispatch dispatch) {
                            mGatewayUse.add(dispatch.via() instanceof Dispatch.Gateway);
                            mOutputs.add(id + " to " + dispatch.server() + "/" + dispatch.epoch());
                        }

                        @Override
                        public void abort(long id) {
                            mOutputs.add(id + " aborted");
                        }

                        @Override
                        public void ended(String route, boolean succeeded, long nanos) {}

                        @Override
                        public void refuse(long id, ResultCode code, long retryAfterMillis) {
                            mOutputs.add(id + " " + code);
                        }
                    },
                    7);

    RequestDeciderTest() {
        mDecider.onConfiguration(0, RoutingConfiguration.of(configuration(true)));
    }

    @Test
    void onNotRun_ownerMoves_requestReachesTheNewOwner() {
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "POST", "/k/a");
        mDecider.onNotRun(MILLI, 1, ResultCode.NO_OWNER, true);
        mDecider.onShard(2, shard("s2", 2));
        mDecider.onTick(20 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/1", "1 to s2/2").inOrder();
    }

    @Test
    void onOutcomeUnknown_notIdempotent_neverSentAgain() {
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "POST", "/k/a");
        mDecider.onOutcomeUnknown(MILLI, 1, true);
        mDecider.onTick(1_000 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/1", "1 OUTCOME_UNKNOWN").inOrder();
    }

    @Test
    void onNotRun_afterUnknownOutcomeOfRead_saysUnknown() {
        mDecider.onShard(1, shard("s1", 1));
        for (int id = 100; id < 120; id++) {
            arrive(id, "GET", "/k/a");
            mDecider.onAnswered(0, id, Optional.empty());
        }
        mOutputs.clear();
        arrive(1, "GET", "/k/a");
        mDecider.onOutcomeUnknown(MILLI, 1, true);
        mDecider.onTick(MILLI);
        mDecider.onNotRun(2 * MILLI, 1, ResultCode.REFUSED_BY_SERVER, false);
        assertThat(mOutputs.get(mOutputs.size() - 1)).isEqualTo("1 OUTCOME_UNKNOWN");
    }

    @Test
    void onArrival_noOwner_waitsUntilThereIsOne() {
        arrive(1, "GET", "/k/a");
        assertThat(mOutputs).isEmpty();
        mDecider.onShard(4, shard("s2", 4));
        mDecider.onTick(100 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s2/4");
    }

    @Test
    void onArrival_slotsTaken_waitsForAnEndThatIsAbandoned() {
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "GET", "/k/a");
        arrive(2, "GET", "/k/b");
        assertThat(mOutputs).containsExactly("1 to s1/1");
        mDecider.onAbandoned(MILLI, 1);
        assertThat(mOutputs).containsExactly("1 to s1/1", "2 to s1/1").inOrder();
    }

    @Test
    void onAbandoned_betweenAttempts_isAccepted() {
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "GET", "/k/a");
        mDecider.onNotRun(MILLI, 1, ResultCode.NO_OWNER, true);
        mDecider.onAbandoned(2 * MILLI, 1);
        mDecider.onTick(100 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/1");
    }

    @Test
    void onForwarded_refusedByServer_isNotRepeatedHere() {
        mDecider.onForwarded(
                0,
                1,
                new ForwardedRequest("s1", "svc", true, 5, 3, 1_000, true, Route.Priority.READ));
        mDecider.onNotRun(MILLI, 1, ResultCode.NO_OWNER, true);
        mDecider.onTick(500 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/3", "1 NO_OWNER").inOrder();
    }

    @Test
    void onNotRun_gatewayDaemonUnreachable_anotherOneIsUsed() {
        Address first = new Address("127.0.0.1", 1);
        mDecider.onGateways(
                (server, avoided) -> avoided.test(first) ? Optional.empty() : Optional.of(first));
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "POST", "/k/a");
        mDecider.onNotRun(MILLI, 1, ResultCode.CONNECT_FAILED, true);
        mDecider.onTick(20 * MILLI);
        assertThat(mGatewayUse).containsExactly(true, false).inOrder();
    }

    @Test
    void onGateways_gatewayDaemonNotAlive_attemptIsGivenUp() {
        Address first = new Address("127.0.0.1", 1);
        mDecider.onGateways((server, avoided) -> Optional.of(first));
        mDecider.onShard(1, shard("s1", 1));
        arrive(1, "GET", "/k/a");
        mDecider.onGateways(
                new GatewayTable() {
                    @Override
                    public Optional<Address> gatewayOf(BackendServer s, Predicate<Address> a) {
                        return Optional.empty();
                    }

                    @Override
                    public boolean isAlive(Address gateway) {
                        return false;
                    }
                });
        assertThat(mOutputs).containsExactly("1 to s1/1", "1 aborted").inOrder();
    }

    @Test
    void onArrival_unfencedServer_sentOnlyWhileTheTableIsConfirmed() {
        mDecider.onConfiguration(0, RoutingConfiguration.of(configuration(false)));
        mDecider.onShard(4, shard("s1", 1));
        arrive(1, "GET", "/k/a");
        assertThat(mOutputs).isEmpty();
        mDecider.onTableLease("svc", 4, 30 * MILLI);
        mDecider.onTick(20 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/1");
        mDecider.onAnswered(21 * MILLI, 1, Optional.empty());
        mDecider.onArrival(
                31 * MILLI, 2, new RouteTableTest.TestHead("GET", "h", "/k/a", ImmutableMap.of()));
        mDecider.onShard(5, shard("s2", 2));
        mDecider.onTableLease("svc", 4, 900 * MILLI);
        mDecider.onTick(60 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s1/1");
    }

    @Test
    void onArrival_unfencedServerWithPreviousOwner_waitsUntilThatIsCleared() {
        mDecider.onConfiguration(0, RoutingConfiguration.of(configuration(false)));
        Slice moved = new Slice(0, -1, "s2", 2, "s1", "");
        mDecider.onShard(5, shard("s1", 1).withSlices(2, ImmutableList.of(moved)));
        mDecider.onTableLease("svc", 5, 900 * MILLI);
        arrive(1, "GET", "/k/a");
        assertThat(mOutputs).isEmpty();
        ImmutableList<Slice> cleared = ImmutableList.of(moved.withoutPrevious());
        mDecider.onShard(6, shard("s1", 1).withSlices(2, cleared));
        mDecider.onTableLease("svc", 6, 900 * MILLI);
        mDecider.onTick(20 * MILLI);
        assertThat(mOutputs).containsExactly("1 to s2/2");
    }

    private void arrive(long id, String method, String uri) {
        mDecider.onArrival(0, id, new RouteTableTest.TestHead(method, "h", uri, ImmutableMap.of()));
    }

    private static ShardState shard(String owner, long epoch) {
        return ShardState.create("svc", 1)
                .withSlices(epoch, ImmutableList.of(new Slice(0, -1, owner, epoch, "", "")));
    }

    private static Configuration configuration(boolean fenced) {
        Configuration configuration =
                Configuration.of()
                        .with(1, new Service("svc", null, Selector.of(""), true, 1))
                        .with(2, route());
        for (int i = 1; i <= 2; i++) {
            Address address = new Address("127.0.0.1", 9_000 + i);
            configuration =
                    configuration.with(
                            2 + i,
                            new BackendServer(
                                    "s" + i, address, "nadi-b", Labels.of(), 1, 1, 0, fenced));
        }
        return configuration;
    }

    private static Route route() {
        return new Route(
                "r",
                null,
                "*",
                "/k",
                ImmutableList.of(),
                "svc",
                KeySource.of("path:1"),
                null,
                2_000,
                null,
                null);
    }
}

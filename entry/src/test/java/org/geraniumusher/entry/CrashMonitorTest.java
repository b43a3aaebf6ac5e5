package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.dispatch.ServiceTimes;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.traffic.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.Optional;

/**
 * Guards against crashes that are not noticed, planned stops and lost responses that are taken for
 * crashes, and quarantines that do not end when the request succeeds.
 */
final class CrashMonitorTest {
    private static final long MILLI = 1_000_000L;
    private static final long STEP_MILLIS = 50;
    private static final long WALL_START_MILLIS = 1_000_000;
    private static final String SIGNATURE = "signature";
    private static final HeaderNames HEADERS =
            new HeaderNames(
                    "id",
                    "deadline",
                    SIGNATURE,
                    "server",
                    "not",
                    "by",
                    "load",
                    "key",
                    "h",
                    "l",
                    "r");
    private static final ResponseFailure CLOSED =
            new ResponseFailure("connection closed", Optional.empty(), 0, "1/1");

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final DaemonContext mContext = mFixture.createContext("a");
    private final CoordinatorService mCoordinator = new CoordinatorService(mContext);
    private final QuarantineService mQuarantines =
            new QuarantineService(mContext, this::wallMillis, mCoordinator);
    private final CrashReporter mReporter =
            new CrashReporter(mContext, mCoordinator, mQuarantines, null);
    private int mProbes;
    private ConnectProbe.Result mProbeResult = ConnectProbe.Result.REFUSED;
    private final CrashMonitor mMonitor =
            new CrashMonitor(
                    mContext,
                    HEADERS,
                    this::wallMillis,
                    (address, onResult) -> {
                        mProbes++;
                        onResult.accept(mProbeResult);
                    },
                    mReporter,
                    new ProbationTrials(mContext, mCoordinator, mQuarantines, null));

    private long wallMillis() {
        return WALL_START_MILLIS + mThread.now() / MILLI;
    }

    @BeforeEach
    void start() {
        for (int i = 0; i < 4; i++) {
            mStore.put(StoreKind.SERVERS, "s" + i, FakeWireFormat.serverSpec(100 + i, false));
        }
        ObjectNode configuration = JsonNodeFactory.instance.objectNode().put("version", 1);
        configuration.putArray("services").add(FakeWireFormat.SERVICE);
        mStore.put(StoreKind.CONFIGURATION, "main", configuration);
        mContext.directory().addListener(mMonitor::onDirectoryChange);
        mCoordinator.setActingListener(mQuarantines::tick);
        mContext.directory().start();
        mCoordinator.start();
        advance(1_000);
    }

    /** Advances the clock; the daemon learns of changes in the store after steps of 50 ms. */
    private void advance(long millis) {
        for (long left = millis; left > 0; left -= STEP_MILLIS) {
            mThread.advance(Math.min(left, STEP_MILLIS) * MILLI);
            mStore.dropHistory();
        }
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    private Exchange exchange(String caller) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "h").set("Cookie", caller);
        Exchange exchange =
                new Exchange(
                        new Exchange.Request(HttpMethod.GET, "/x?q=1", headers, new byte[] {1}),
                        "id-" + mThread.now(),
                        mThread.now(),
                        RequestSource.CALLER,
                        null);
        exchange.setRoute(null, "service", 1);
        return exchange;
    }

    private Upstream upstream(int server) {
        ServerEntry entry = mContext.directory().servers().get("s" + server + "@1");
        return new Upstream(
                entry,
                null,
                mThread::now,
                new ResponseBuffers(),
                HEADERS,
                null,
                ServerLoad.create(6, ServiceTimes.create(1), 0));
    }

    private void breakAt(int server, String caller) {
        mMonitor.onBroken(exchange(caller), upstream(server), CLOSED);
        advance(1_000);
    }

    private static UpstreamResponse response() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(SIGNATURE, "s");
        return new UpstreamResponse(head, new byte[0], "1/1");
    }

    private void answer(String caller) {
        mMonitor.onResponse(exchange(caller), upstream(3), response());
        advance(1_000);
    }

    private int crashes(String caller) {
        return mReporter.crashesUnder(exchange(caller).identity("key").fingerprint());
    }

    private Optional<Quarantine.State> state(String caller) {
        return Optional.ofNullable(
                        mContext.directory()
                                .quarantines()
                                .get(exchange(caller).identity("key").fingerprint()))
                .map(Quarantine::state);
    }

    @Test
    void onBroken_threeServersCrashed_requestIsRejectedUntilTheQuarantineEnds() {
        for (int i = 0; i < 3; i++) {
            assertThat(mMonitor.rejectedForSeconds(exchange("c")).isPresent()).isFalse();
            breakAt(i, "c");
        }

        assertThat(mMonitor.rejectedForSeconds(exchange("c")).orElseThrow()).isAtLeast(57.0);
        assertThat(mMonitor.rejectedForSeconds(exchange("other")).isPresent()).isFalse();
        advance(61_000);
        assertThat(state("c")).hasValue(Quarantine.State.PROBATION);
        assertThat(mMonitor.rejectedForSeconds(exchange("c")).isPresent()).isFalse();
    }

    /** The daemon must not take a request to a third server that has crashed two of its servers. */
    @Test
    void mayRetry_twoCrashesUnderTheRequest_isFalse() {
        breakAt(0, "c");
        assertThat(mMonitor.mayRetry(exchange("c"))).isTrue();
        breakAt(1, "c");

        assertThat(mMonitor.mayRetry(exchange("c"))).isFalse();
        assertThat(mMonitor.mayRetry(exchange("other"))).isTrue();
    }

    /** A server over its limit of connections closes some and accepts others. */
    @Test
    void onBroken_serverAcceptsConnections_isNoCrash() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        breakAt(0, "c");

        assertThat(crashes("c")).isEqualTo(0);
    }

    /** A crash that closed the connections of the server before its port was missed. */
    @Test
    void onBroken_portClosesAfterTheConnections_isCrash() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
        mThread.advance(MILLI);
        mProbeResult = ConnectProbe.Result.REFUSED;
        advance(1_000);

        assertThat(crashes("c")).isEqualTo(1);
    }

    /**
     * Probes for a suspicion that an answer has refuted counted for the next one, so that refusals
     * within 0.15 s were taken for a crash.
     */
    @Test
    void onBroken_probesOfRefutedSuspicionGoOn_refusalsDoNotAddUp() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
        mThread.advance(60 * MILLI);
        mMonitor.onResponse(exchange("d"), upstream(0), response());
        mThread.advance(10 * MILLI);
        mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
        mThread.advance(70 * MILLI);
        mProbeResult = ConnectProbe.Result.REFUSED;
        mThread.advance(200 * MILLI);
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        mThread.advance(1_000 * MILLI);

        assertThat(crashes("c")).isEqualTo(0);
    }

    /**
     * A server over its limit of connections breaks many requests; a probe for each would add to
     * its load.
     */
    @Test
    void onBroken_manyTimesButServerAccepts_probesSeldom() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        for (int i = 0; i < 100; i++) {
            mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
            mThread.advance(10 * MILLI);
        }

        assertThat(mProbes).isAtMost(5);
    }

    /** A server that is cut off answers nothing, which does not prove its end. */
    @Test
    void onBroken_probesGetNoAnswer_isNoCrash() {
        mProbeResult = ConnectProbe.Result.UNKNOWN;
        breakAt(0, "c");

        assertThat(crashes("c")).isEqualTo(0);
    }

    /** A server that leaves as planned closes its port and its connections too. */
    @Test
    void onBroken_serverIsListedAsLeaving_isNoCrash() {
        Upstream upstream = upstream(0);
        mStore.put(StoreKind.SERVERS, "s0", FakeWireFormat.serverSpec(100, true));
        advance(1_000);

        mMonitor.onBroken(exchange("c"), upstream, CLOSED);
        advance(1_000);

        assertThat(crashes("c")).isEqualTo(0);
    }

    /** A server that is back before the probes must not hide its crash. */
    @Test
    void onBroken_laterIncarnationIsListed_isCrash() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
        mStore.put(StoreKind.SERVERS, "s0", FakeWireFormat.serverSpec(100, false).put("born", 2));
        advance(1_000);

        assertThat(crashes("c")).isEqualTo(1);
    }

    /** An entry of another writer made a broken connection of a running server count as a crash. */
    @Test
    void onBroken_laterEntryOfServiceThatIsNotConfigured_isNoCrash() {
        mProbeResult = ConnectProbe.Result.ACCEPTED;
        mMonitor.onBroken(exchange("c"), upstream(0), CLOSED);
        mStore.put(StoreKind.SERVERS, "n", FakeWireFormat.laterServerSpecOfOtherService(100));
        advance(1_000);

        assertThat(crashes("c")).isEqualTo(0);
    }

    /** A request that runs to its end is not the cause: its crashes must not add up. */
    @Test
    void onResponse_suspectCompletes_isCleared() {
        breakAt(0, "c");
        breakAt(1, "c");
        assertThat(state("c")).hasValue(Quarantine.State.PROBATION);

        answer("c");
        assertThat(state("c")).isEmpty();
        breakAt(2, "c");

        assertThat(state("c")).isEmpty();
        assertThat(mMonitor.mayRetry(exchange("c"))).isTrue();
    }

    /** What an operator lifts must not come back from evidence that is still kept. */
    @Test
    void onDirectoryChange_operatorRemovesTheQuarantine_evidenceIsForgotten() {
        for (int i = 0; i < 3; i++) {
            breakAt(i, "c");
        }
        mStore.remove(StoreKind.QUARANTINES, exchange("c").identity("key").fingerprint().hex());
        advance(2_000);

        assertThat(mMonitor.rejectedForSeconds(exchange("c")).isPresent()).isFalse();
        assertThat(crashes("c")).isEqualTo(0);
        assertThat(state("c")).isEmpty();
    }

    /** A rejection must not last for as long as no coordinator can write its end. */
    @Test
    void rejectedForSeconds_storeIsAwayAtTheEndOfTheRejection_endsSoonAfterIt() {
        for (int i = 0; i < 3; i++) {
            breakAt(i, "c");
        }
        mStore.setDown(true);
        advance(60_000);
        assertThat(mMonitor.rejectedForSeconds(exchange("c")).isPresent()).isTrue();
        advance(10_000);

        assertThat(state("c")).hasValue(Quarantine.State.REJECTED);
        assertThat(mMonitor.rejectedForSeconds(exchange("c")).isPresent()).isFalse();
    }

    /** A write that the store refuses must be repeated. */
    @Test
    void onBroken_storeIsAwayAtTheThirdCrash_requestIsRejectedAfterwards() {
        breakAt(0, "c");
        breakAt(1, "c");
        mMonitor.onBroken(exchange("c"), upstream(2), CLOSED);
        advance(290);
        mStore.setDown(true);
        advance(1_000);
        mStore.setDown(false);
        advance(2_000);

        assertThat(state("c")).hasValue(Quarantine.State.REJECTED);
    }
}

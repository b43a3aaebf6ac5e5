package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.model.Address;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Guards against a coordinator that stays although a peer reaches more servers, or goes too far.
 */
final class CoordinatorResignationTest {
    private static final long MILLI = 1_000_000L;
    private static final Address PEER = Address.of("127.0.0.1:8");

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final Peers mPeers = new Peers();
    private CoordinatorService mCoordinator;

    /** Answers inquiries at once. */
    private static final class Peers implements CoordinatorService.PeerReach {
        private final List<Address> mNominated = new ArrayList<>();
        private int mInquiries;
        private int mReachedHere;
        private int mReachedByPeer = 2;

        @Override
        public void ask(
                Collection<String> servers,
                Collection<String> failing,
                Consumer<Outcome> onOutcome) {
            mInquiries++;
            onOutcome.accept(new Outcome(mReachedHere, mReachedByPeer, Optional.of(PEER)));
        }

        @Override
        public void nominate(Address peer) {
            mNominated.add(peer);
        }
    }

    @AfterEach
    void closeFixture() {
        mFixture.close();
    }

    private void startAndCut() {
        start();
        cut();
    }

    /** Starts a coordinator of two servers. */
    private void start() {
        ObjectNode configuration = JsonNodeFactory.instance.objectNode().put("version", 1);
        configuration.putArray("services");
        configuration.putArray("keyed_services").add(FakeWireFormat.SERVICE);
        mStore.put(StoreKind.CONFIGURATION, "main", configuration);
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(11, false));
        mStore.put(StoreKind.SERVERS, "b", FakeWireFormat.serverSpec(12, false));
        DaemonContext context = mFixture.createContext("d");
        context.directory().start();
        mCoordinator = new CoordinatorService(context);
        mCoordinator.setPeerReach(mPeers);
        mCoordinator.start();
        mThread.advance(5_000 * MILLI);
        assertThat(mCoordinator.isActing()).isTrue();
        assertThat(mPeers.mInquiries).isEqualTo(0);
    }

    private void cut() {
        mFixture.control().refuseConnections("a");
        mFixture.control().refuseConnections("b");
    }

    private String recordedDaemon() {
        return mStore.spec(StoreKind.COORDINATORS, "coordinator").path("daemon").asText();
    }

    @Test
    void tick_peerReachesMore_resignsAndNominatesPeer() {
        startAndCut();

        mThread.advance(2_000 * MILLI);

        assertThat(recordedDaemon()).isEmpty();
        assertThat(mCoordinator.isActing()).isFalse();
        assertThat(mCoordinator.canStand()).isFalse();
        assertThat(mPeers.mNominated).containsExactly(PEER);
    }

    /** Calls after the resignation could grant keys that the next coordinator grants to others. */
    @Test
    void tick_hasResigned_callsNoServer() {
        startAndCut();
        mThread.advance(2_000 * MILLI);
        int calls = mFixture.control().callCount();

        mThread.advance(3_000 * MILLI);

        assertThat(mFixture.control().callCount()).isEqualTo(calls);
    }

    @Test
    void tick_peerReachesNoMore_staysCoordinator() {
        mPeers.mReachedByPeer = 0;
        startAndCut();

        for (int i = 0; i < 100; i++) {
            mThread.advance(100 * MILLI);
            assertThat(mCoordinator.isActing()).isTrue();
        }
        assertThat(mPeers.mInquiries).isAtLeast(2);
    }

    /** Without another daemon that is elected the service would have no coordinator any more. */
    @Test
    void tick_nobodyElseIsElected_actsAgainAndDoesNotResignAtOnce() {
        startAndCut();
        mThread.advance(8_000 * MILLI);
        assertThat(mCoordinator.isActing()).isTrue();

        for (int i = 0; i < 100; i++) {
            mThread.advance(100 * MILLI);
            assertThat(mCoordinator.isActing()).isTrue();
        }
    }

    /** Nobody could be elected, and holds are longer while the store does not answer. */
    @Test
    void tick_storeIsDown_doesNotResign() {
        start();
        mStore.setDown(true);
        mThread.advance(2_400 * MILLI);
        cut();

        for (int i = 0; i < 12 && mPeers.mInquiries == 0; i++) {
            mThread.advance(100 * MILLI);
        }

        assertThat(mPeers.mInquiries).isEqualTo(1);
        assertThat(mCoordinator.isActing()).isTrue();
    }

    /** The record named a daemon that abstained, and others had to wait for its end. */
    @Test
    void tick_vacatingIsNotConfirmed_recordDoesNotNameAbstainingDaemon() {
        startAndCut();
        mThread.advance(500 * MILLI);
        mStore.setDown(true);
        mThread.advance(1_500 * MILLI);
        boolean resigned = !mCoordinator.isActing();
        mStore.setDown(false);

        mThread.advance(1_500 * MILLI);

        assertThat(resigned).isTrue();
        assertThat(mCoordinator.isActing()).isTrue();
        assertThat(recordedDaemon()).startsWith("d/");
    }

    /** A stale read shows the record of the daemon that has resigned, for seconds. */
    @Test
    void onNominated_staleReadsLag_isElectedAtOnce() {
        mStore.put(StoreKind.COORDINATORS, "coordinator", record("e/127.0.0.2"));
        mCoordinator = new CoordinatorService(mFixture.createContext("d"));
        mCoordinator.start();
        mThread.advance(1_000 * MILLI);
        assertThat(mCoordinator.isActing()).isFalse();
        mStore.freezeStaleLists();
        mStore.put(StoreKind.COORDINATORS, "coordinator", record(""));

        mCoordinator.onNominated();
        mThread.advance(100 * MILLI);

        assertThat(recordedDaemon()).startsWith("d/");
        assertThat(mCoordinator.isActing()).isTrue();
    }

    /** The answer to a read that was sent before the nomination shows nothing about it. */
    @Test
    void onNominated_earlierReadIsInFlight_readsAgainAndIsElectedAtOnce() {
        mStore.put(StoreKind.COORDINATORS, "coordinator", record("e/127.0.0.2"));
        mCoordinator = new CoordinatorService(mFixture.createContext("d"));
        mCoordinator.start();
        mThread.advance(900 * MILLI);
        mStore.holdAnswers();
        mThread.advance(1_000 * MILLI);
        mStore.freezeStaleLists();
        mStore.put(StoreKind.COORDINATORS, "coordinator", record(""));

        mCoordinator.onNominated();
        mStore.releaseAnswers();
        mThread.advance(100 * MILLI);

        assertThat(recordedDaemon()).startsWith("d/");
        assertThat(mCoordinator.isActing()).isTrue();
    }

    private static ObjectNode record(String daemon) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("daemon", daemon)
                .put("incarnation", 1)
                .put("epoch", 1)
                .put("peer", PEER.toString());
    }
}

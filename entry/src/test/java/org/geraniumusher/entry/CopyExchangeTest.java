package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.model.Address;
import org.geraniumusher.traffic.RouterConfig;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Guards against daemons that stay behind their peers while the store is silent to them. */
final class CopyExchangeTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    /** Time of a call between two daemons. */
    private static final long CALL_MILLIS = 2;

    /** Pause between the answers of the store to a daemon that reaches it. */
    private static final long ANSWER_MILLIS = 500;

    /**
     * Bound of a configuration where the store is silent to some daemons: {@code apply_s} and
     * {@code skew_max_s}.
     */
    private static final long APPLY_WITH_SKEW_NANOS = 7 * SECOND;

    private static final int SEEDS = 10;

    private final FakeEventThread mThread = new FakeEventThread();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now, () -> 0, new PrintStream(new ByteArrayOutputStream(), true));
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<Address, Daemon> mByAddress = new HashMap<>();

    /** Daemons whose calls get no answer. */
    private final Set<Daemon> mLost = new HashSet<>();

    private boolean mPeersAreOfEarlierRelease;

    /** A daemon with a view of the store of its own; that view is silent until it is answered. */
    private final class Daemon {
        private final Address mAddress;
        private final FakeStore mStore = new FakeStore(mLog);
        private final Directory mDirectory =
                new Directory(mStore, new FakeWireFormat(), mThread, mThread::now, mLog);
        private final List<Address> mAsked = new ArrayList<>();
        private final CopyExchange mExchange;

        Daemon(int number, long seed) {
            mAddress = new Address("127.0.0.1", 1 + number);
            DaemonContext context =
                    new DaemonContext(
                            EntrySettings.builder()
                                    .setIdentity("entry-" + number, "z")
                                    .setListenAddresses(mAddress, mAddress, mAddress)
                                    .build(),
                            1,
                            mDirectory,
                            mStore,
                            new FakeServerControl(mThread),
                            mThread,
                            SuspensionClock.create(mThread::now, () -> mThread.now() / MILLI, mLog),
                            mLog,
                            new EntryMetrics("entry-" + number, 1, mThread::now, () -> 0));
            mExchange =
                    new CopyExchange(
                            context,
                            new FakeWireFormat(),
                            this::call,
                            this::peers,
                            new Random(seed * 1_000 + number));
            mStore.put(StoreKind.CONFIGURATION, "main", configuration(1, 2));
            mDirectory.start();
        }

        private ImmutableList<Address> peers() {
            return mDaemons.stream()
                    .filter(d -> d != this)
                    .map(d -> d.mAddress)
                    .collect(ImmutableList.toImmutableList());
        }

        private CompletableFuture<HttpReply> call(Address address, HttpCall call) {
            mAsked.add(address);
            Daemon peer = mByAddress.get(address);
            CompletableFuture<HttpReply> result = new CompletableFuture<>();
            if (mLost.contains(peer)) {
                mThread.schedule(
                        () -> result.completeExceptionally(new TimeoutException("lost")),
                        CopyExchange.CALL_TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS);
            } else {
                mThread.schedule(
                        () -> result.complete(peer.reply(call)),
                        CALL_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
            return result;
        }

        private HttpReply reply(HttpCall call) {
            if (call.path().startsWith(CopyExchange.KIND_PATH)) {
                return mExchange.copyReply(call);
            }
            return mPeersAreOfEarlierRelease
                    ? HttpReply.of(404, "{}")
                    : mExchange.copiesReply(call);
        }

        /** Has the store answer this daemon from now on, at first with a new configuration. */
        void reachStoreWithChange(int version) {
            mStore.put(StoreKind.CONFIGURATION, "main", configuration(version, 3));
            mStore.dropHistory();
            answerRegularly();
        }

        private void answerRegularly() {
            KindMirror mirror = mDirectory.mirror(StoreKind.CONFIGURATION);
            mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), mirror.revision()));
            mThread.schedule(this::answerRegularly, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        }

        long version() {
            return mDirectory.configuration().map(RouterConfig::version).orElse(-1L);
        }
    }

    private static ObjectNode configuration(int version, int revision) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("name", "main")
                .put("revision", revision)
                .put("version", version);
    }

    private void start(int daemons, long seed) {
        mThread.clear();
        mDaemons.clear();
        for (int i = 0; i < daemons; i++) {
            Daemon daemon = new Daemon(i, seed);
            mDaemons.add(daemon);
            mByAddress.put(daemon.mAddress, daemon);
        }
    }

    private void assertChangeIsAtAllDaemons(long seed) {
        for (Daemon daemon : mDaemons) {
            assertWithMessage("seed %s, %s", seed, daemon.mAddress)
                    .that(daemon.version())
                    .isEqualTo(2);
        }
    }

    @AfterEach
    void close() {
        mLog.close();
    }

    /** Copies came from one random peer at a time, most often one that was as far behind. */
    @ParameterizedTest
    @CsvSource({"3", "11", "95"})
    void wake_storeAnswersOneDaemonOnly_allHaveItsChangeInTime(int daemons) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            start(daemons, seed);
            mDaemons.get(0).reachStoreWithChange(2);

            mThread.advance(APPLY_WITH_SKEW_NANOS);

            assertChangeIsAtAllDaemons(seed);
        }
    }

    /** A call to a peer that is lost or stands still must not hold up those to others. */
    @Test
    void wake_halfOfThePeersAreLost_changeArrivesInTime() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            start(11, seed);
            mLost.addAll(mDaemons.subList(5, 11));
            mDaemons.get(0).reachStoreWithChange(2);

            mThread.advance(APPLY_WITH_SKEW_NANOS);

            assertWithMessage("seed %s", seed).that(mDaemons.get(1).version()).isEqualTo(2);
        }
    }

    /** In a large fleet random peers would seldom be the one that reaches the store. */
    @Test
    void onInformedPeer_copyIsInDoubt_peerIsAskedInEachRound() {
        start(95, 1);
        Daemon daemon = mDaemons.get(1);
        Daemon informed = mDaemons.get(77);
        informed.reachStoreWithChange(2);
        daemon.mExchange.onInformedPeer(informed.mAddress);

        mThread.advance(3 * SECOND);

        int rounds = daemon.mAsked.size() / CopyExchange.PEERS_PER_ROUND;
        assertThat(rounds).isAtLeast(2);
        assertThat(daemon.mAsked.get(0)).isEqualTo(informed.mAddress);
        assertThat(daemon.mAsked.stream().filter(informed.mAddress::equals).count())
                .isAtLeast(rounds - 1);
    }

    /** Calls between daemons cost processor time, and so does each wake-up. */
    @Test
    void wake_storeAnswers_noPeerIsAsked() {
        start(3, 1);
        mDaemons.forEach(Daemon::answerRegularly);

        for (int i = 0; i < 20; i++) {
            mThread.advance(500 * MILLI);
            mDaemons.forEach(d -> d.mExchange.wake());
        }

        mDaemons.forEach(d -> assertThat(d.mAsked).isEmpty());
    }

    /** While the release changes, peers of the earlier one know only a call for each kind. */
    @Test
    void wake_peersAreOfEarlierRelease_kindsAreAskedForOneByOne() {
        mPeersAreOfEarlierRelease = true;
        start(3, 1);
        mDaemons.get(0).reachStoreWithChange(2);

        mThread.advance(APPLY_WITH_SKEW_NANOS);

        assertThat(mDaemons.get(1).version()).isEqualTo(2);
    }

    /**
     * While the store is away for all, daemons would ask one another in vain, many times a second.
     */
    @Test
    void wake_noPeerKnowsMore_callsBecomeFewerAndChangeStillArrivesInTime() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            start(11, seed);
            mThread.advance(5 * SECOND);
            Daemon daemon = mDaemons.get(1);
            int before = daemon.mAsked.size();

            mThread.advance(10 * SECOND);

            assertThat(daemon.mAsked.size() - before).isAtMost(11 * CopyExchange.PEERS_PER_ROUND);
            mDaemons.get(0).reachStoreWithChange(2);
            mThread.advance(APPLY_WITH_SKEW_NANOS);
            assertChangeIsAtAllDaemons(seed);
        }
    }
}

package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.traffic.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Guards against servers that are treated as gone because their entries expired during an outage of
 * the store, against watches that outlast the history of the store, and against state that a
 * restore of the store takes back.
 */
final class DirectoryTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final Directory mDirectory = mFixture.createContext("d").directory();

    @AfterEach
    void close() {
        mFixture.close();
    }

    /**
     * A server whose entry goes soon after the start or an outage was in use until the next change
     * of the directory, since nothing ran when the time ended in which it may register again.
     */
    @Test
    void mayMissingServersReregister_endsWithoutChange_listenersRun() {
        List<Boolean> seen = new ArrayList<>();
        mDirectory.start();
        mDirectory.addListener(
                () -> seen.add(mDirectory.mayMissingServersReregister(mThread.now())));

        mThread.advance(3 * SECOND_NANOS);

        assertThat(seen).contains(false);
    }

    private void simulateOutage(long nanos) {
        mStore.setDown(true);
        mStore.failWatches();
        mThread.advance(nanos);
        mStore.remove(StoreKind.SERVERS, "a");
        mStore.setDown(false);
        // The watch is retried, and since the history is gone, all kinds are listed.
        mThread.advance(SECOND_NANOS / 2);
        mStore.dropHistory();
    }

    /**
     * Servers whose entries expired register again within about 2 s after the store is reachable
     * again. If that time counted from the start of the outage, keys would move away from running
     * servers after an outage of more than 2 s.
     */
    @Test
    void mayMissingServersReregister_afterLongOutage_isTrueForTwoSecondsFromRecovery() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        assertThat(mDirectory.servers()).hasSize(1);

        simulateOutage(9 * SECOND_NANOS);

        assertThat(mDirectory.servers()).isEmpty();
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();
        mThread.advance(3 * SECOND_NANOS);
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    /**
     * The store keeps 20 s of history. A watch of 20 s that began with a change ends when the
     * history of that change is dropped: all daemons then listed all kinds at the same moment
     * (vtgw-gate-large quiet-1, 20 s after a change of the configuration). An answer may take a
     * second.
     */
    @Test
    void start_watches_waitNoLongerThanHistoryOfStore() {
        mDirectory.start();

        assertThat(mStore.longestWaitMillis()).isGreaterThan(0L);
        assertThat(mStore.longestWaitMillis()).isLessThan(19_000L);
    }

    /** Restores a backup; the watches of the lost history end. */
    private void restore(FakeStore.Backup backup) {
        mStore.restore(backup);
        mStore.dropHistory();
        mThread.advance(SECOND_NANOS / 2);
    }

    private static ObjectNode configuration(long version) {
        return JsonNodeFactory.instance.objectNode().put("version", version);
    }

    private long configurationVersion() {
        return mDirectory.configuration().orElseThrow().version();
    }

    /**
     * The revisions of a restored store are lower than those of the copy. All lists were dropped as
     * older than the copy until the store had reached its former revision, or for good, and the
     * operator's next configuration was not seen: vtgw-gate on the day of issue 18, seeds 11 and 7.
     */
    @Test
    void start_restoredStoreHasLowerRevision_laterChangesAreSeen() {
        mStore.put(StoreKind.CONFIGURATION, "main", configuration(3));
        FakeStore.Backup backup = mStore.backup();
        mDirectory.start();
        for (int i = 0; i < 10; i++) {
            mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        }
        mStore.dropHistory();

        restore(backup);
        mStore.put(StoreKind.CONFIGURATION, "main", configuration(4));
        mStore.dropHistory();

        assertThat(configurationVersion()).isEqualTo(4);
        assertThat(mDirectory.servers()).isEmpty();
    }

    /** A change that was confirmed and in force must not be taken back by a restore. */
    @Test
    void configuration_restoreBringsBackOlderVersion_newerStaysInForce() {
        mStore.put(StoreKind.CONFIGURATION, "main", configuration(3));
        FakeStore.Backup backup = mStore.backup();
        mStore.put(StoreKind.CONFIGURATION, "main", configuration(4));
        mDirectory.start();

        restore(backup);

        assertThat(configurationVersion()).isEqualTo(4);
    }

    /** Keys and requests must not return to a server that is shutting down. */
    @Test
    void servers_restoreBringsBackReadyEntryOfLeavingServer_isLeaving() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        FakeStore.Backup backup = mStore.backup();
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, true));
        mDirectory.start();

        restore(backup);

        assertThat(mDirectory.servers().get("a@1").leaving()).isTrue();
    }

    /** The restored entry can have the revision at which another one was decoded before. */
    @Test
    void servers_revisionIsAssignedAgain_entryIsDecodedAgain() {
        FakeStore.Backup backup = mStore.backup();
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();

        mStore.restore(backup);
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(2, false));
        mStore.dropHistory();

        assertThat(mDirectory.servers().get("a@1").address().port()).isEqualTo(2);
    }

    /** Operators write lost evacuations again, and no work may return to the servers until then. */
    @Test
    void isOutOfService_evacuationIsLostInRestore_staysInForceUntilItCouldBeWrittenAgain() {
        FakeStore.Backup backup = mStore.backup();
        mStore.put(StoreKind.EVACUATIONS, "z", configuration(0));
        mDirectory.start();
        ServerEntry server =
                new FakeWireFormat()
                        .decodeServerEntry(
                                new StoreObject(
                                        "a",
                                        1,
                                        configuration(0),
                                        FakeWireFormat.serverSpec(1, false)));

        restore(backup);
        assertThat(mDirectory.isOutOfService(server)).isTrue();

        mThread.advance(3 * SECOND_NANOS);
        assertThat(mDirectory.isOutOfService(server)).isFalse();
    }

    @Test
    void mayMissingServersReregister_afterRestore_isTrueForTwoSeconds() {
        FakeStore.Backup backup = mStore.backup();
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        mThread.advance(5 * SECOND_NANOS);

        mStore.restore(backup);
        mStore.dropHistory();

        assertThat(mDirectory.servers()).isEmpty();
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();
        mThread.advance(3 * SECOND_NANOS);
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    /**
     * One object that cannot be decoded must not end the quarantines of other requests, and an
     * operator must see why a daemon does not reject the request.
     */
    @Test
    void quarantines_someObjectsUnusable_othersAreInForceAndReasonsAreLogged() {
        Quarantine usable = Quarantines.create("a", Quarantine.State.REJECTED, 0);
        Quarantines.put(mStore, usable);
        mStore.put(StoreKind.QUARANTINES, "night", QuarantineCodec.encode(usable));
        mStore.put(StoreKind.QUARANTINES, "b".repeat(32), configuration(1));
        mStore.put(
                StoreKind.QUARANTINES,
                "c".repeat(32),
                QuarantineCodec.encode(usable).put("state", "PAUSED"));

        mDirectory.start();

        assertThat(mDirectory.quarantines()).containsExactly(usable.fingerprint(), usable);
        List<String> skipped =
                mFixture.closeAndReadLog()
                        .lines()
                        .filter(line -> line.contains("Quarantine cannot be used"))
                        .toList();
        assertThat(skipped).hasSize(3);
        assertThat(skipped.toString()).contains("fingerprint is not 32 hexadecimal digits: night");
        assertThat(skipped.toString()).contains("no text field");
        assertThat(skipped.toString()).contains("PAUSED");
    }

    /** The log must tell from when on a daemon rejected a request, and not repeat it each list. */
    @Test
    void quarantines_changeAndAreListedAgain_onlyChangesAreLogged() {
        Quarantine rejected = Quarantines.create("a", Quarantine.State.REJECTED, 0);
        Quarantine probation = Quarantines.create("a", Quarantine.State.PROBATION, 9);
        String name = rejected.fingerprint().hex();
        mDirectory.start();
        Quarantines.put(mStore, rejected);
        mStore.dropHistory();
        mStore.dropHistory();
        Quarantines.put(mStore, probation);
        mStore.dropHistory();
        mStore.remove(StoreKind.QUARANTINES, name);
        mStore.dropHistory();

        assertThat(mDirectory.quarantines()).isEmpty();
        List<String> changes =
                mFixture.closeAndReadLog()
                        .lines()
                        .filter(line -> line.contains("Quarantines are in force"))
                        .toList();
        assertThat(changes).hasSize(3);
        assertThat(changes.get(0)).containsMatch("\"rejected\":\\W*" + name);
        assertThat(changes.get(1)).containsMatch("\"probation\":\\W*" + name);
        assertThat(changes.get(2)).doesNotContain(name);
    }

    /** A daemon that keeps what the store lost would refuse a request that nobody can release. */
    @Test
    void quarantines_storeIsRestored_areThoseOfTheBackup() {
        Quarantine old = Quarantines.create("a", Quarantine.State.REJECTED, 0);
        Quarantine lost = Quarantines.create("b", Quarantine.State.REJECTED, 9);
        Quarantines.put(mStore, old);
        FakeStore.Backup backup = mStore.backup();
        mStore.remove(StoreKind.QUARANTINES, old.fingerprint().hex());
        Quarantines.put(mStore, lost);
        mDirectory.start();
        assertThat(mDirectory.quarantines()).containsExactly(lost.fingerprint(), lost);

        restore(backup);

        assertThat(mDirectory.quarantines()).containsExactly(old.fingerprint(), old);
    }

    /** The copy of a peer that has not heard it still says that the server is ready. */
    @Test
    void servers_peerCopyHasReadyEntryOfServerThatSaidItIsLeaving_isLeaving() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        mDirectory.markLeaving("a@1");
        mStore.setDown(true);
        mStore.failWatches();
        KindMirror mirror = mDirectory.mirror(StoreKind.SERVERS);
        StoreVersion own = mirror.version();

        mirror.adoptPeerCopy(
                new PeerCopy(
                        FakeWireFormat.ADDRESS,
                        new StoreVersion(own.epoch(), own.revision() + 1),
                        true,
                        OptionalLong.empty(),
                        mirror.objects()));

        assertThat(mirror.version().revision()).isEqualTo(own.revision() + 1);
        assertThat(mDirectory.servers().get("a@1").leaving()).isTrue();
    }

    /**
     * The mark ends only with its incarnation. The memory for marks is bounded, and others that
     * left later pushed out that of a server which still runs.
     */
    @Test
    void servers_manyOthersLeftLater_listedOneIsStillLeaving() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        mDirectory.markLeaving("a@1");
        for (int i = 0; i < 3 * LeavingIncarnations.MAX_UNLISTED; i++) {
            mDirectory.markLeaving("b@" + i);
        }
        mStore.put(StoreKind.SERVERS, "c", FakeWireFormat.serverSpec(2, false));
        mStore.dropHistory();

        assertThat(mDirectory.servers().keySet()).containsExactly("a@1", "c@1");
        assertThat(mDirectory.servers().get("a@1").leaving()).isTrue();
        assertThat(mDirectory.servers().get("c@1").leaving()).isFalse();
    }

    /** Starts with a server that is missing in the copy of a peer, while the store is away. */
    private void copyFromPeerWithoutServer(boolean settled) {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        mThread.advance(5 * SECOND_NANOS);
        mStore.setDown(true);
        mStore.failWatches();
        StoreVersion own = mDirectory.mirror(StoreKind.SERVERS).version();
        adopt(new StoreVersion(own.epoch(), own.revision() + 1), settled);
        assertThat(mDirectory.servers()).isEmpty();
    }

    private void adopt(StoreVersion version, boolean settled) {
        mDirectory
                .mirror(StoreKind.SERVERS)
                .adoptPeerCopy(
                        new PeerCopy(
                                FakeWireFormat.ADDRESS,
                                version,
                                settled,
                                OptionalLong.empty(),
                                ImmutableMap.of()));
    }

    /**
     * A daemon that the store refused used a removed server until the store answered it again
     * (willowgate scale-2, seed 179998294959).
     */
    @Test
    void mayMissingServersReregister_missingInSettledCopyOfPeer_isFalse() {
        copyFromPeerWithoutServer(true);

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    /** The entry may have expired in an outage that has just ended for the peer. */
    @Test
    void mayMissingServersReregister_missingInUnsettledCopyOfPeer_isTrueUntilThatCopyIsSettled() {
        copyFromPeerWithoutServer(false);
        mThread.advance(5 * SECOND_NANOS);
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();

        adopt(mDirectory.mirror(StoreKind.SERVERS).version(), true);

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    /** A copy that a peer took in an outage says nothing of the entries that are missing in it. */
    @Test
    void mayMissingServersReregister_unsettledCopyAfterSettledOne_isTrue() {
        copyFromPeerWithoutServer(true);
        StoreVersion own = mDirectory.mirror(StoreKind.SERVERS).version();

        adopt(new StoreVersion(own.epoch(), own.revision() + 1), false);

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();
    }

    /** An entry that expired in an outage must not count as removed once the store answers. */
    @Test
    void mayMissingServersReregister_storeAnswersAfterSettledCopy_isTrueForTwoSeconds() {
        copyFromPeerWithoutServer(true);

        mStore.setDown(false);
        mThread.advance(SECOND_NANOS / 2);

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();
        mThread.advance(3 * SECOND_NANOS);
        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    /**
     * A store that answers once after an outage and then hangs shows no entry that is written
     * again. Its copy must not make the servers count as gone, here or at a peer.
     */
    @Test
    void mayMissingServersReregister_storeHangsRightAfterOutage_isTrue() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        simulateOutage(5 * SECOND_NANOS);
        assertThat(mDirectory.servers()).isEmpty();

        // A watch of 2 s without an answer fails after 3.5 s.
        mThread.advance(7 * SECOND_NANOS / 2);
        assertThat(mDirectory.mirror(StoreKind.SERVERS).isCopySettled()).isFalse();
        mStore.setDown(true);
        mStore.failWatches();

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isTrue();
    }

    @Test
    void mayMissingServersReregister_noOutage_isFalse() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mDirectory.start();
        mThread.advance(5 * SECOND_NANOS);

        assertThat(mDirectory.mayMissingServersReregister(mThread.now())).isFalse();
    }

    private void startWithConfiguration() {
        mStore.put(StoreKind.CONFIGURATION, "main", configuration(1));
        mDirectory.start();
    }

    private void answerWatches() {
        KindMirror mirror = mDirectory.mirror(StoreKind.CONFIGURATION);
        mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), mirror.revision()));
    }

    /** The age of the copy was known, and requests were denied for good by any copy. */
    @Test
    void mayConfigurationBeOutdated_storeIsSilent_isTrueOnceChangeIsDue() {
        startWithConfiguration();

        mThread.advance(2 * SECOND_NANOS);
        assertThat(mDirectory.mayConfigurationBeOutdated()).isFalse();

        mThread.advance(1);
        assertThat(mDirectory.mayConfigurationBeOutdated()).isTrue();

        answerWatches();
        assertThat(mDirectory.mayConfigurationBeOutdated()).isFalse();
    }

    /** The copy counts as current, and yet this daemon has heard that it no longer is. */
    @Test
    void mayConfigurationBeOutdated_peerHasNewerConfiguration_isTrueUntilItIsRead() {
        startWithConfiguration();
        KindMirror mirror = mDirectory.mirror(StoreKind.CONFIGURATION);
        StoreVersion newer = new StoreVersion(mirror.version().epoch(), mirror.revision() + 1);

        mirror.onPeerCopy(newer, mirror.digest() + 1, 0);
        assertThat(mDirectory.mayConfigurationBeOutdated()).isTrue();

        mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), newer.revision()));
        assertThat(mDirectory.mayConfigurationBeOutdated()).isFalse();
    }
}

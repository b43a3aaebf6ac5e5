package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Guards against mirrors that stop following the store or follow it too late. */
final class KindMirrorTest {
    private static final long MILLI = 1_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now, () -> 0, new PrintStream(new ByteArrayOutputStream(), true));
    private final List<GuardedWatch.Reason> mGivenUp = new ArrayList<>();
    private boolean mFailsOnChange;

    private final KindMirror mMirror =
            createMirror(StoreKind.CONFIGURATION, GuardedWatch.Timing.PROMPT);

    private KindMirror createMirror(StoreKind kind, GuardedWatch.Timing timing) {
        return new KindMirror(kind, timing, mStore, mThread, mThread::now, mLog, new Listener());
    }

    @AfterEach
    void close() {
        mLog.close();
        mFixture.close();
    }

    private final class Listener implements KindMirror.Listener {
        @Override
        public void onChange() {
            if (mFailsOnChange) {
                throw new IllegalStateException("listener fails");
            }
        }

        @Override
        public void onHistoryGone() {
            mMirror.start();
        }

        @Override
        public void onReachable() {}

        @Override
        public void onConfirmed() {}

        @Override
        public void onGivenUp(GuardedWatch.Reason reason) {
            mGivenUp.add(reason);
        }

        @Override
        public void onTimedOut(long sentNanos) {}

        @Override
        public long retryMillis() {
            return 3_000;
        }
    }

    /** Failed calls before a restore put off the second try of the list after it by 3 s. */
    @Test
    void onNewEpoch_firstListFailsAfterOutage_isRetriedSoon() {
        mMirror.start();
        mStore.setDown(true);
        mStore.failWatches();
        mThread.advance(200 * MILLI);
        mMirror.onNewEpoch();
        mStore.setDown(false);
        mStore.put(StoreKind.CONFIGURATION, "c", FakeWireFormat.serverSpec(1, false));

        mThread.advance(200 * MILLI);

        assertThat(mMirror.objects().keySet()).containsExactly("c");
    }

    /** A kind whose listener failed once was never watched again. */
    @Test
    void start_listenerFails_laterChangesAreSeen() {
        mFailsOnChange = true;
        mMirror.start();
        mFailsOnChange = false;

        mStore.put(StoreKind.CONFIGURATION, "c", FakeWireFormat.serverSpec(1, false));
        mStore.dropHistory();

        assertThat(mMirror.objects().keySet()).containsExactly("c");
    }

    /**
     * What changes between two pages of a list is in none of the pages. The watch continued from
     * the revision of the last page, so a server that reported its leaving in this time got
     * requests until its end.
     */
    @Test
    void start_objectsChangeBetweenPages_watchCoversTheChanges() {
        mStore.put(StoreKind.CONFIGURATION, "a", FakeWireFormat.serverSpec(1, false));
        mStore.put(StoreKind.CONFIGURATION, "b", FakeWireFormat.serverSpec(1, false));
        StoreObject before = mStore.object(StoreKind.CONFIGURATION, "a");
        mStore.setPages(
                1,
                () -> mStore.put(StoreKind.CONFIGURATION, "a", FakeWireFormat.serverSpec(1, true)));

        mMirror.start();

        assertThat(mMirror.objects().keySet()).containsExactly("a", "b");
        assertThat(mMirror.revision()).isEqualTo(before.revision() + 1);
        assertThat(mStore.lastWatchedRevision()).isEqualTo(before.revision() + 1);
    }

    /**
     * A watch from the first page reports changes that a later page already shows. They must not
     * take an object back to an earlier state.
     */
    @Test
    void watch_changeIsOlderThanThePageThatShowsTheObject_keepsTheNewerObject() {
        mStore.put(StoreKind.CONFIGURATION, "a", FakeWireFormat.serverSpec(1, false));
        mStore.put(StoreKind.CONFIGURATION, "b", FakeWireFormat.serverSpec(1, false));
        StoreObject older = mStore.object(StoreKind.CONFIGURATION, "b");
        mStore.setPages(
                1,
                () -> mStore.put(StoreKind.CONFIGURATION, "b", FakeWireFormat.serverSpec(2, true)));
        mMirror.start();
        StoreObject newer = mMirror.objects().get("b");
        long revision = older.revision() + 3;

        mStore.answerWatches(
                new StoreResult.Changes(
                        ImmutableList.of(
                                new StoreResult.Change(older, false),
                                new StoreResult.Change(older, true)),
                        revision));

        assertThat(newer.revision()).isGreaterThan(older.revision());
        assertThat(mMirror.objects()).containsEntry("b", newer);
        assertThat(mMirror.revision()).isEqualTo(revision);
    }

    private void startWithCopy() {
        mStore.put(StoreKind.CONFIGURATION, "a", FakeWireFormat.serverSpec(1, false));
        mMirror.start();
    }

    /** Has a peer vouch for the copy. */
    private void vouch() {
        mMirror.onPeerCopy(mMirror.version(), mMirror.digest(), 0);
    }

    /** Starts with a copy for which a peer vouches, so that the pending watch waits for long. */
    private void startWithLongWait() {
        startWithCopy();
        vouch();
        answerWithoutChanges();
        assertThat(mStore.lastWaitMillis()).isEqualTo(18_000);
    }

    /** A change of the next revision that the watches do not bring. */
    private StoreVersion versionOfMissedChange() {
        return new StoreVersion(mMirror.version().epoch(), mMirror.revision() + 1);
    }

    private void answerWithoutChanges() {
        mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), mMirror.revision()));
    }

    /**
     * A watch on a connection that had fallen silent was waited for until its own limit, 19.5 s.
     */
    @Test
    void watch_noAnswerAtTheEndOfItsWait_isSentAgain() {
        startWithCopy();

        mThread.advance(1_300 * MILLI);

        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.NO_ANSWER);
        assertThat(mStore.watchCount()).isEqualTo(2);
    }

    /** On a link that is slower than the limit each watch would be cut off, for ever. */
    @Test
    void watch_secondOneIsSlowToo_isNotGivenUp() {
        startWithCopy();

        mThread.advance(3_000 * MILLI);
        assertThat(mGivenUp).hasSize(1);

        answerWithoutChanges();
        mThread.advance(1_300 * MILLI);
        assertThat(mGivenUp).hasSize(2);
    }

    /**
     * After a silence the coordinator knew that its copy was current only when the wait of its next
     * watch was over, and until then all daemons asked the store themselves.
     */
    @Test
    void watch_isSentAgainForKindWithLongerBound_isAnsweredSoon() {
        createMirror(StoreKind.DRAINS, GuardedWatch.Timing.RELAXED).start();
        assertThat(mStore.lastWaitMillis()).isEqualTo(2_500);

        mThread.advance(3_100 * MILLI);

        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.NO_ANSWER);
        assertThat(mStore.lastWaitMillis()).isEqualTo(700);
    }

    /** Each watch costs the store a call, so one that peers vouch for waits for long. */
    @Test
    void watch_peerSaysThatTheCopyIsCurrent_waitsForLongUntilItNoLongerSaysSo() {
        startWithLongWait();

        for (int i = 0; i < 15; i++) {
            mThread.advance(1_000 * MILLI);
            vouch();
        }
        assertThat(mGivenUp).isEmpty();
        assertThat(mStore.watchCount()).isEqualTo(2);

        mThread.advance(1_500 * MILLI);
        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.NOT_CONFIRMED);
        assertThat(mStore.lastWaitMillis()).isLessThan(1_000);
    }

    /** A statement that is old by the time it arrives covers the copy for that much less. */
    @Test
    void onPeerCopy_isOld_coversForTheRest() {
        startWithCopy();
        mMirror.onPeerCopy(mMirror.version(), mMirror.digest(), 1_000 * MILLI);
        answerWithoutChanges();

        mThread.advance(500 * MILLI);

        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.NOT_CONFIRMED);
    }

    /**
     * A change that one daemon missed was found only by its own limit, though all others had it.
     */
    @Test
    void onPeerCopy_peerIsAheadAndWatchHangs_watchIsSentAgain() {
        startWithLongWait();
        mThread.advance(100 * MILLI);

        mMirror.onPeerCopy(versionOfMissedChange(), mMirror.digest() + 1, 0);
        mThread.advance(400 * MILLI);

        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.PEER_IS_AHEAD);
    }

    /** Usually the watch brings the change right after; to send it again would cost a call. */
    @Test
    void onPeerCopy_watchBringsTheChange_isNotSentAgain() {
        startWithLongWait();
        mThread.advance(100 * MILLI);
        mMirror.onPeerCopy(versionOfMissedChange(), mMirror.digest() + 1, 0);
        StoreObject changed = mStore.object(StoreKind.CONFIGURATION, "a");

        mStore.answerWatches(
                new StoreResult.Changes(
                        ImmutableList.of(new StoreResult.Change(changed, false)),
                        mMirror.revision() + 1));
        mThread.advance(400 * MILLI);

        assertThat(mGivenUp).isEmpty();
    }

    /** A copy of equal objects is current at any revision of the store, which counts all kinds. */
    @Test
    void onPeerCopy_equalObjectsAtLaterRevision_watchIsKept() {
        startWithCopy();

        mMirror.onPeerCopy(versionOfMissedChange(), mMirror.digest(), 0);
        mThread.advance(400 * MILLI);

        assertThat(mGivenUp).isEmpty();
    }

    /** What one call learns of the store's connections holds for the others. */
    @Test
    void onCallTimedOut_copyNotKnownToBeCurrentSince_watchIsSentAgain() {
        startWithCopy();
        mThread.advance(500 * MILLI);
        long sentNanos = mThread.now() - 100 * MILLI;
        mMirror.watch().onCallTimedOut(sentNanos);
        assertThat(mGivenUp).containsExactly(GuardedWatch.Reason.CALL_TIMED_OUT);

        answerWithoutChanges();
        mMirror.watch().onCallTimedOut(sentNanos);
        assertThat(mGivenUp).hasSize(1);
    }

    /** Calls to feeders have limits of their own, and their answers come later than the store's. */
    @Test
    void watch_isRelayed_isNotGivenUp() {
        startWithCopy();
        mMirror.watch().setSource(GuardedWatch.Source.FEEDER);

        mThread.advance(5_000 * MILLI);

        assertThat(mGivenUp).isEmpty();
    }

    /** After an outage the answer to each kind had the calls for all others sent once more. */
    @Test
    void retryNow_callIsInProgress_isNotSentAgain() {
        startWithCopy();
        mStore.failWatches();

        mMirror.retryNow();
        mMirror.retryNow();

        assertThat(mStore.watchCount()).isEqualTo(2);
    }

    private void adoptPeerCopy(OptionalLong ageNanos) {
        adoptPeerCopy(new StoreVersion(1, 7), true, ageNanos);
    }

    /** Gets a copy without objects from a peer. */
    private void adoptPeerCopy(StoreVersion version, boolean settled, OptionalLong ageNanos) {
        mMirror.adoptPeerCopy(
                new PeerCopy(
                        FakeWireFormat.ADDRESS, version, settled, ageNanos, ImmutableMap.of()));
    }

    /** Until its own call had timed out, a daemon kept its copy, though a peer had a newer one. */
    @Test
    void adoptPeerCopy_watchStillWaits_newerCopyIsUsed() {
        startWithCopy();
        StoreVersion newer = versionOfMissedChange();
        mThread.advance(500 * MILLI);

        adoptPeerCopy(newer, true, OptionalLong.of(100 * MILLI));

        assertThat(mMirror.version()).isEqualTo(newer);
        assertThat(mMirror.objects()).isEmpty();
        assertThat(mMirror.copyAgeNanos(mThread.now())).hasValue(100 * MILLI);
    }

    /** The watch still reports changes that the copy has, also of objects that are gone in it. */
    @Test
    void adoptPeerCopy_watchIsAnsweredLater_removedObjectDoesNotComeBack() {
        startWithCopy();
        StoreObject removed = mStore.object(StoreKind.CONFIGURATION, "a");
        adoptPeerCopy(
                new StoreVersion(mMirror.version().epoch(), mMirror.revision() + 5),
                true,
                OptionalLong.empty());

        mStore.answerWatches(
                new StoreResult.Changes(
                        ImmutableList.of(new StoreResult.Change(removed, false)),
                        removed.revision() + 1));

        assertThat(mMirror.objects()).isEmpty();
    }

    /**
     * The peer has just reached the store again, so entries may only have expired. To this daemon
     * the store seems to have answered all the while, and it would take them for removed.
     */
    @Test
    void adoptPeerCopy_copyIsNotSettledAndStoreSeemsReachable_isNotSettledYet() {
        startWithCopy();
        mThread.advance(1_000 * MILLI + KindMirror.SETTLING_NANOS);
        assertThat(mMirror.isSettled(mThread.now())).isTrue();

        adoptPeerCopy(versionOfMissedChange(), false, OptionalLong.of(0));
        assertThat(mMirror.isSettled(mThread.now())).isFalse();

        mThread.advance(KindMirror.SETTLING_NANOS);
        assertThat(mMirror.isSettled(mThread.now())).isTrue();
    }

    /** A daemon asks peers from then on; before, it waited for the end of a second call. */
    @Test
    void isInDoubt_watchIsGivenUp_isTrueUntilTheStoreAnswers() {
        startWithCopy();
        mThread.advance(500 * MILLI);
        assertThat(mMirror.isInDoubt()).isFalse();

        mThread.advance(800 * MILLI);
        assertThat(mMirror.isInDoubt()).isTrue();

        answerWithoutChanges();
        assertThat(mMirror.isInDoubt()).isFalse();
    }

    /** A daemon without the store knows from peers that its copy is current. */
    @Test
    void onEqualCopy_objectsAreEqual_ageIsThatOfThePeer() {
        startWithCopy();
        mThread.advance(3_000 * MILLI);

        mMirror.onEqualCopy(versionOfMissedChange(), mMirror.digest() + 1, 200 * MILLI);
        assertThat(mMirror.copyAgeNanos(mThread.now())).hasValue(3_000 * MILLI);

        mMirror.onEqualCopy(mMirror.version(), mMirror.digest(), 200 * MILLI);
        assertThat(mMirror.copyAgeNanos(mThread.now())).hasValue(200 * MILLI);
    }

    /** A daemon that started beside a peer that was behind refused requests on newer routes. */
    @Test
    void adoptPeerCopy_firstListNotAnsweredAndPeerIsBehind_isIgnored() {
        mStore.holdAnswers();
        mMirror.start();

        adoptPeerCopy(OptionalLong.of(10_000 * MILLI));
        assertThat(mMirror.hasState()).isFalse();

        adoptPeerCopy(OptionalLong.of(1_000 * MILLI));
        assertThat(mMirror.hasState()).isTrue();
    }

    /** Any copy is better than none while the store is away. */
    @Test
    void adoptPeerCopy_firstListFailed_copyOfAnyAgeIsUsed() {
        mStore.setDown(true);
        mMirror.start();

        adoptPeerCopy(OptionalLong.empty());

        assertThat(mMirror.hasState()).isTrue();
    }

    /** The followers of a daemon that became a feeder were turned away for up to 18 s. */
    @Test
    void setSource_daemonBecomesFeederDuringLongWait_watchIsSentAgainWithShortWait() {
        startWithLongWait();

        mMirror.watch().setSource(GuardedWatch.Source.STORE_FOR_FOLLOWERS);

        assertThat(mStore.lastWaitMillis()).isEqualTo(1_000);
    }

    /** The platform does not say whether an event of a removal carries a revision. */
    @Test
    void watch_removalWithoutRevision_removesTheObject() {
        mStore.put(StoreKind.CONFIGURATION, "a", FakeWireFormat.serverSpec(1, false));
        mMirror.start();
        StoreObject known = mStore.object(StoreKind.CONFIGURATION, "a");
        StoreObject removed = new StoreObject("a", 0, known.content(), known.spec());

        mStore.answerWatches(
                new StoreResult.Changes(
                        ImmutableList.of(new StoreResult.Change(removed, true)),
                        known.revision() + 1));

        assertThat(mMirror.objects()).isEmpty();
    }
}

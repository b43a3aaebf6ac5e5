package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

/** Guards against mirrors that stop following the store or follow it too late. */
final class KindMirrorTest {
    private static final long MILLI = 1_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final DecisionLog mLog =
            DecisionLog.start(
                    mThread::now, () -> 0, new PrintStream(new ByteArrayOutputStream(), true));
    private boolean mFailsOnChange;

    private final KindMirror mMirror =
            new KindMirror(
                    StoreKind.CONFIGURATION,
                    KindMirror.WatchTiming.LONG_WAIT,
                    mStore,
                    mThread,
                    mThread::now,
                    mLog,
                    this::onChange,
                    this::listAgain,
                    () -> {});

    @AfterEach
    void close() {
        mLog.close();
        mFixture.close();
    }

    private void onChange() {
        if (mFailsOnChange) {
            throw new IllegalStateException("listener fails");
        }
    }

    private void listAgain() {
        mMirror.start();
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

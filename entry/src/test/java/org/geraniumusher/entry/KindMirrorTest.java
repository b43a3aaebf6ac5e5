package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

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
}

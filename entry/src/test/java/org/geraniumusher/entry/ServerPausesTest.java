package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.dispatch.ServerLoad;
import org.geraniumusher.dispatch.ServerPause;
import org.geraniumusher.dispatch.ServiceTimes;
import org.geraniumusher.traffic.ServerEntry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.List;

/** Guards against pauses of servers whose begin, lengthening or end cannot be seen in the log. */
final class ServerPausesTest {
    private static final long SECOND = 1_000_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final DaemonContext mContext = mFixture.createContext("entry-1");
    private final ServerPauses mPauses =
            new ServerPauses(mThread, mContext.log(), mContext.metrics());
    private final Upstream mUpstream =
            new Upstream(
                    new ServerEntry(
                            "s", 1, "plain", FakeWireFormat.ADDRESS, "z", 6, "v1", false, 0),
                    null,
                    mThread::now,
                    new ResponseBuffers(),
                    new FakeWireFormat().headers(),
                    null,
                    ServerLoad.create(6, ServiceTimes.create(SECOND), 0));

    @AfterEach
    void close() {
        mFixture.close();
    }

    /** Lets the server ask for a pause, as in an answer with {@code Retry-After}. */
    private void pause(long nanos) {
        String seconds = String.valueOf(nanos / (double) SECOND);
        ServerPause.Change change =
                mUpstream.load().pause().onUnavailable(List.of(seconds), mThread.now());
        if (change != ServerPause.Change.NONE) {
            mPauses.onPaused(mUpstream, mThread.now());
        }
    }

    private long pauses() {
        return mContext.metrics().registry().counter("servers.pauses").getCount();
    }

    private List<String> closeAndReadEvents() {
        return mFixture.closeAndReadLog().lines().filter(l -> l.contains("SERVER")).toList();
    }

    /** Without requests only a timer can tell the end. */
    @Test
    void pause_noRequests_endIsLoggedWhenItIsOver() {
        pause(3 * SECOND);
        mThread.advance(10 * SECOND);

        List<String> events = closeAndReadEvents();
        assertThat(events).hasSize(2);
        assertThat(events.get(0))
                .contains("\"Server wants no requests for some time\",\"server\":\"s@1\"");
        assertThat(events.get(0)).contains("\"seconds\":\"3.0\"");
        assertThat(events.get(1)).contains("\"Pause of a server ended\",\"server\":\"s@1\"");
        assertThat(events.get(1)).contains("\"cause\":\"over\",\"seconds\":\"3.0\"");
    }

    /**
     * A lengthened pause must not be logged as ended at its first end, nor count as another one.
     */
    @Test
    void pause_lengthened_isLoggedAndEndsOnceAtTheLaterEnd() {
        pause(3 * SECOND);
        mThread.advance(SECOND);
        pause(SECOND);
        pause(5 * SECOND);
        mThread.advance(20 * SECOND);

        assertThat(pauses()).isEqualTo(1);
        List<String> events = closeAndReadEvents();
        assertThat(events).hasSize(3);
        assertThat(events.get(1)).contains("\"Server wants no requests for longer\"");
        assertThat(events.get(1)).contains("\"seconds\":\"5.0\"");
        assertThat(events.get(2)).contains("\"cause\":\"over\",\"seconds\":\"6.0\"");
    }

    /** Each request in transit is rejected too, a little later: one line must do. */
    @Test
    void pause_requestsInTransitAreRejectedToo_lengthensWithoutMoreLines() {
        for (int i = 0; i < 20; i++) {
            pause(3 * SECOND);
            mThread.advance(SECOND / 100);
        }
        mThread.advance(20 * SECOND);

        assertThat(closeAndReadEvents()).hasSize(2);
    }

    @Test
    void onRemoved_serverIsPaused_endIsLoggedOnceWithTheCause() {
        pause(3_600 * SECOND);
        mThread.advance(SECOND);
        mPauses.onRemoved(mUpstream);
        mThread.advance(7_200 * SECOND);

        List<String> events = closeAndReadEvents();
        assertThat(events).hasSize(2);
        assertThat(events.get(1)).contains("\"cause\":\"server is gone\",\"seconds\":\"1.0\"");
    }

    /** The list of the log must tell why the server gets no requests after it has come back. */
    @Test
    void onAdded_pauseFromBeforeTheRemoval_beginAndEndAreLoggedAgainAndCountOnce() {
        pause(10 * SECOND);
        mThread.advance(SECOND);
        mPauses.onRemoved(mUpstream);
        mThread.advance(SECOND);
        mPauses.onAdded(mUpstream);
        mThread.advance(20 * SECOND);

        assertThat(pauses()).isEqualTo(1);
        List<String> events = closeAndReadEvents();
        assertThat(events).hasSize(4);
        assertThat(events.get(2)).contains("\"Server wants no requests for some time\"");
        assertThat(events.get(2)).contains("\"seconds\":\"8.0\"");
        assertThat(events.get(3)).contains("\"cause\":\"over\",\"seconds\":\"8.0\"");
    }

    @Test
    void onAdded_serverIsNotPaused_nothingIsLogged() {
        mPauses.onAdded(mUpstream);

        assertThat(closeAndReadEvents()).isEmpty();
    }

    /** Another pause after the end is one of its own. */
    @Test
    void pause_afterTheEnd_beginsAgain() {
        pause(SECOND);
        mThread.advance(2 * SECOND);
        pause(SECOND);
        mThread.advance(2 * SECOND);

        assertThat(pauses()).isEqualTo(2);
        assertThat(closeAndReadEvents()).hasSize(4);
    }
}

package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a server whose entry was removed beside an outage: the time for which
 * it may still get requests began only when its entry could no longer come back.
 */
final class UpstreamSetTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final DaemonContext mContext = mFixture.createContext("d");
    private final Directory mDirectory = mContext.directory();
    private final UpstreamSet mUpstreams = mFixture.createUpstreams(mContext);

    @AfterEach
    void close() {
        mFixture.close();
    }

    private void putServer() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mStore.dropHistory();
    }

    /** Starts, and removes the entry of the server during an outage of the store. */
    private Upstream removeDuringOutage() {
        mDirectory.addListener(mUpstreams::update);
        mDirectory.start();
        mThread.advance(5 * SECOND_NANOS);
        putServer();
        Upstream server = mUpstreams.get("a@1");
        mStore.setDown(true);
        mStore.failWatches();
        mThread.advance(5 * SECOND_NANOS);
        mStore.remove(StoreKind.SERVERS, "a");
        mStore.setDown(false);
        mThread.advance(SECOND_NANOS / 2);
        mStore.dropHistory();
        return server;
    }

    @Test
    void update_entryStaysMissing_isLeavingSinceItWasMissed() {
        Upstream server = removeDuringOutage();
        long missedAt = mThread.now();
        assertThat(server.isLeaving()).isFalse();

        mThread.advance(3 * SECOND_NANOS);

        assertThat(server.isLeaving()).isTrue();
        assertThat(server.leavingSinceNanos()).isAtMost(missedAt);
    }

    /** An entry that only expired in the outage is no sign of a later removal. */
    @Test
    void update_entryComesBackAndIsRemoved_isLeavingSinceTheSecondTime() {
        Upstream server = removeDuringOutage();
        putServer();
        assertThat(mUpstreams.get("a@1")).isSameInstanceAs(server);
        mThread.advance(5 * SECOND_NANOS);

        mStore.remove(StoreKind.SERVERS, "a");
        mStore.dropHistory();

        assertThat(server.leavingSinceNanos()).isEqualTo(mThread.now());
    }
}

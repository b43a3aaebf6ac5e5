package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests to a server that comes back after its entry was removed, although it said
 * in between, in the answer to an earlier request, that it wants none.
 */
final class LateNoticeTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final String INCARNATION = "a@1";

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeEventThread mThread = mFixture.thread();
    private final FakeStore mStore = mFixture.store();
    private final DaemonContext mContext = mFixture.createContext("d");
    private final Directory mDirectory = mContext.directory();
    private final UpstreamSet mUpstreams = mFixture.createUpstreams(mContext);
    private final ServerNotices mNotices =
            new ServerNotices(
                    mDirectory,
                    mUpstreams,
                    new FakeWireFormat(),
                    mThread,
                    mContext.log(),
                    mContext.metrics(),
                    new ServerLimits(mContext.log(), mContext.metrics()));

    /** The upstream of the server before the removal of its entry. */
    private Upstream mRemoved;

    @BeforeEach
    void removeServer() {
        mDirectory.addListener(mUpstreams::update);
        mDirectory.start();
        // Soon after the start a missing entry may still be written again.
        mThread.advance(5 * SECOND_NANOS);
        putServer();
        mRemoved = mUpstreams.get(INCARNATION);
        mStore.remove(StoreKind.SERVERS, "a");
        mStore.dropHistory();
        assertThat(mUpstreams.get(INCARNATION)).isNull();
    }

    @AfterEach
    void close() {
        mFixture.close();
    }

    private void putServer() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mStore.dropHistory();
    }

    private void answer(HttpResponseStatus status, String header, String value) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
        head.headers().set(header, value);
        mNotices.onResponse(
                mRemoved,
                new UpstreamResponse(head, new byte[0], "1/1"),
                mThread.now(),
                mThread.now());
    }

    @Test
    void onResponse_removedServerSaysThatItIsLeaving_isLeavingWhenItsEntryIsBack() {
        answer(HttpResponseStatus.OK, "leaving", "1");

        putServer();

        assertThat(mDirectory.servers().get(INCARNATION).leaving()).isTrue();
        assertThat(mUpstreams.get(INCARNATION).isLeaving()).isTrue();
    }

    @Test
    void onResponse_removedServerAsksForPause_isPausedWhenItsEntryIsBack() {
        answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "retry-after", "30");

        putServer();

        assertThat(mUpstreams.get(INCARNATION).load().isPaused(mThread.now())).isTrue();
    }

    /** The mark is about an answer, not about the removal of the entry. */
    @Test
    void onResponse_removedServerSaysNothing_isUsedWhenItsEntryIsBack() {
        answer(HttpResponseStatus.OK, "id", "1");

        putServer();

        assertThat(mUpstreams.get(INCARNATION).isLeaving()).isFalse();
    }
}

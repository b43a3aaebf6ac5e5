package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.Responder;
import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards against feeders that turn followers away although their copy is confirmed. */
final class RelayEndpointTest {
    private static final long MILLI = 1_000_000L;

    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeStore mStore = mFixture.store();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DaemonContext mContext = mFixture.createContext("d");
    private final RelayedStore mRelayed = mFixture.createRelayedStore(mContext, mGroup);
    private final RelayEndpoint mEndpoint = new RelayEndpoint(mContext, mRelayed);
    private final List<HttpReply> mReplies = new ArrayList<>();

    @AfterEach
    void close() {
        mGroup.shutdownGracefully();
        mFixture.close();
    }

    /** Reads the servers, and has a watch answered by the store. */
    @BeforeEach
    void confirm() {
        mStore.put(StoreKind.SERVERS, "a", FakeWireFormat.serverSpec(1, false));
        mContext.directory().start();
        mRelayed.watch(StoreKind.SERVERS, version().revision(), 1_000);
        mStore.answerWatches(new StoreResult.Changes(ImmutableList.of(), version().revision()));
    }

    private StoreVersion version() {
        return mContext.directory().mirror(StoreKind.SERVERS).version();
    }

    private void poll(StoreVersion version) {
        mEndpoint.answer(
                HttpCall.of("GET", RelayEndpoint.watchUri(version)),
                new Responder() {
                    @Override
                    public void reply(HttpReply reply) {
                        mReplies.add(reply);
                    }

                    @Override
                    public void drop() {}
                });
    }

    /**
     * The store assigns revisions to the changes of all kinds, so a follower that has just read the
     * store can be ahead of a feeder that waits for changes of servers. It was answered with 503
     * and watched the store for 3 s.
     */
    @Test
    void answer_followerHasHigherRevision_getsNoChanges() {
        StoreVersion ahead = new StoreVersion(version().epoch(), version().revision() + 5);
        poll(ahead);
        assertThat(mReplies).isEmpty();

        mFixture.thread().advance(800 * MILLI);

        assertThat(mReplies).hasSize(1);
        assertThat(mReplies.get(0).status()).isEqualTo(200);
        StoreResult.Changes changes = RelayEndpoint.decode(mReplies.get(0), new FakeWireFormat());
        assertThat(changes)
                .isEqualTo(new StoreResult.Changes(ImmutableList.of(), ahead.revision()));
    }

    /** A copy that the store has not confirmed for 1.6 s may lack a server that leaves. */
    @Test
    void answer_copyIsNotConfirmed_isRejected() {
        mFixture.thread().advance(1_700 * MILLI);

        poll(version());

        assertThat(mReplies.get(0).status()).isEqualTo(503);
    }
}

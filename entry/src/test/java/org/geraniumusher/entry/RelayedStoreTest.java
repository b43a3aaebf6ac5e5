package org.geraniumusher.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.relay.Feeders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/** Guards against a feeder that serves a copy which it got from another feeder as confirmed. */
final class RelayedStoreTest {
    private final DaemonContextFixture mFixture = new DaemonContextFixture();
    private final FakeStore mStore = mFixture.store();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DaemonContext mContext = mFixture.createContext("d");
    private final RelayedStore mRelayed = mFixture.createRelayedStore(mContext, mGroup);

    @AfterEach
    void close() {
        mGroup.shutdownGracefully();
        mFixture.close();
    }

    /**
     * A watch that was sent but not answered must not count as direct, or the daemon would serve an
     * outdated copy of a feeder as confirmed by the store.
     */
    @Test
    void isLastWatchDirect_watchNotAnsweredYet_isFalse() {
        mRelayed.watch(StoreKind.SERVERS, 1, 2_000);
        assertThat(mRelayed.isLastWatchDirect()).isFalse();

        mStore.failWatches();
        assertThat(mRelayed.isLastWatchDirect()).isTrue();
    }

    /** The only daemon of a data centre in a large fleet has no feeder and watches the store. */
    @Test
    void watch_noFeederInDataCentre_goesToTheStore() {
        List<Feeders.Member> fleet = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            fleet.add(new Feeders.Member("e" + i, "elsewhere", FakeWireFormat.ADDRESS, 0));
        }
        mRelayed.setMembers(fleet);

        mRelayed.watch(StoreKind.SERVERS, 1, 2_000);

        assertThat(mRelayed.isFollower()).isTrue();
        assertThat(mStore.longestWaitMillis()).isEqualTo(2_000L);
    }
}

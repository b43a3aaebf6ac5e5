package org.geraniumusher.peer;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipMessage.Probe;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Labels;
import org.geraniumusher.peer.AuthorityMessage.AuthorityAck;
import org.geraniumusher.peer.AuthorityMessage.AuthorityRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Guards against messages lost between codec and socket, a transport that one bad or cut peer takes
 * down, and connections that are not opened again. Uses real loopback sockets.
 */
class PeerTransportTest {
    private static final String HOST = "127.0.0.1";
    private static final long LIMIT_SECONDS = 20;
    private static final Versions VERSIONS =
            new Versions(5, ImmutableSet.of(9L), ImmutableMap.of("catalogue", 7L));

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MetricRegistry mRegistry = new MetricRegistry();
    private final PeerTransport mA = PeerTransport.bind(mGroup, HOST, 0, new MetricRegistry());
    private PeerTransport mB = PeerTransport.bind(mGroup, HOST, 0, mRegistry);
    private final Member mMemberA = member("a", mA.address());
    private final Member mMemberB = member("b", mB.address());
    private final BlockingQueue<Object> mAtA = new LinkedBlockingQueue<>();
    private final BlockingQueue<Object> mAtB = new LinkedBlockingQueue<>();

    @BeforeEach
    void start() {
        mA.start(mMemberA, collector(mAtA));
        mB.start(mMemberB, collector(mAtB));
    }

    @AfterEach
    void stop() {
        mA.close();
        mB.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void send_probe_arrivesWithVersions() throws InterruptedException {
        mA.setVersions(VERSIONS);
        Probe probe = probe();
        mA.send(mB.address(), probe);
        assertThat(next(mAtB)).isEqualTo(VERSIONS);
        assertThat(next(mAtB)).isEqualTo(probe);
    }

    @Test
    void send_authority_bothWays() throws InterruptedException {
        AuthorityRequest request = new AuthorityRequest("catalogue", 4, 1, "a", 1, 7);
        mA.send(mMemberB, request);
        assertThat(next(mAtB)).isEqualTo(request);
        AuthorityAck ack = new AuthorityAck("catalogue", 4, 1, "b", 1, false, 6, 8);
        mB.send(mMemberA, ack);
        assertThat(next(mAtA)).isEqualTo(ack);
    }

    @Test
    void send_largeAndSmall_arriveWhole() throws InterruptedException {
        SyncMessage.Snapshot snapshot = new SyncMessage.Snapshot(9_000, changes(5_000));
        mA.send(mMemberB, snapshot);
        assertThat(next(mAtB)).isEqualTo(snapshot);
        SyncMessage.Delta delta = new SyncMessage.Delta(0, 9, 9, changes(2));
        mA.send(mMemberB, delta);
        assertThat(next(mAtB)).isEqualTo(delta);
    }

    @Test
    void receive_garbage_countedAndOthersServed() throws IOException, InterruptedException {
        Random random = new Random(3);
        try (DatagramSocket socket = new DatagramSocket()) {
            for (int size : new int[] {1, 100, 1_200, 1_500, 9_000}) {
                byte[] bytes = new byte[size];
                random.nextBytes(bytes);
                InetAddress to = InetAddress.getByName(HOST);
                socket.send(new DatagramPacket(bytes, size, to, mB.address().port()));
            }
        }
        awaitCount("peer.oversized", 2);
        awaitCount("peer.malformed", 3);
        try (Socket socket = new Socket(HOST, mB.address().port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 0, 3, 1, 2, 3});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        try (Socket socket = new Socket(HOST, mB.address().port())) {
            socket.getOutputStream().write(new byte[] {127, 0, 0, 0, 1});
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
        awaitCount("peer.oversized", 3);
        awaitCount("peer.malformed", 4);
        send_largeAndSmall_arriveWhole();
    }

    @Test
    void receive_connectionCutInFrame_othersServed() throws IOException, InterruptedException {
        try (Socket socket = new Socket(HOST, mB.address().port())) {
            socket.getOutputStream().write(new byte[] {0, 0, 1, 0, 8});
        }
        send_largeAndSmall_arriveWhole();
        assertThat(mAtB).isEmpty();
    }

    @Test
    void send_peerRestarts_connectsAgain() throws Exception {
        SyncMessage.Pull pull = new SyncMessage.Pull(1, ImmutableMap.of());
        mA.send(mMemberB, pull);
        assertThat(next(mAtB)).isEqualTo(pull);
        mB.close();
        mA.send(mMemberB, pull);
        mB = bindAgain(mMemberB.peerAddress().port());
        mB.start(mMemberB, collector(mAtB));
        Object got = null;
        for (int attempt = 0; attempt < 200 && got == null; attempt++) {
            mA.send(mMemberB, pull);
            got = mAtB.poll(100, TimeUnit.MILLISECONDS);
        }
        assertThat(got).isEqualTo(pull);
    }

    @Test
    void send_unknownAddress_countedQuietly() throws InterruptedException {
        Member nobody = member("n", new Address("not-a-number", 9));
        mB.send(nobody, new SyncMessage.VersionsRequest());
        awaitCount("peer.send_failed", 1);
        Address closed = mA.address();
        mA.close();
        mB.send(member("a", closed), new SyncMessage.Pull(1, ImmutableMap.of()));
        awaitCount("peer.send_failed", 2);
    }

    @Test
    void send_largestBurnSummary_arrivesWhole() throws InterruptedException {
        BurnRates rates = BurnRates.create("a", 1);
        for (int i = 0; i < BurnSummary.MAX_ROUTES; i++) {
            rates.record("r".repeat(BurnSummary.MAX_NAME_BYTES - 2) + (10 + i), 1, 2, 9_000_000);
        }
        BurnSummary summary = rates.summary(9_000_000);
        mA.send(mMemberB, summary);
        assertThat(next(mAtB)).isEqualTo(summary);
    }

    /** Binds a port as soon as the selector has let go of the closed sockets. */
    private PeerTransport bindAgain(int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (true) {
            try {
                return PeerTransport.bind(mGroup, HOST, port, mRegistry);
            } catch (Exception e) {
                if (System.nanoTime() - end > 0) {
                    throw e;
                }
            }
        }
    }

    private void awaitCount(String name, long count) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (mRegistry.counter(name).getCount() < count && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(mRegistry.counter(name).getCount()).isEqualTo(count);
    }

    private static Object next(BlockingQueue<Object> queue) throws InterruptedException {
        return queue.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
    }

    private Probe probe() {
        MemberUpdate sender = MemberUpdate.of(mMemberA);
        return new Probe(sender, 7, "b", ImmutableList.of(MemberUpdate.of(mMemberB)));
    }

    private static ImmutableList<Change> changes(int count) {
        ImmutableList.Builder<Change> changes = ImmutableList.builder();
        for (int i = 1; i <= count; i++) {
            changes.add(Change.put(i, new DataCentre("dc" + i, "viti-west", Labels.of("n", "v"))));
        }
        return changes.build();
    }

    private static Member member(String name, Address address) {
        return new Member(name, 1, "nadi-b", address, address, address);
    }

    /** Returns a handler that adds the last argument of each call to a queue. */
    private static PeerHandler collector(BlockingQueue<Object> queue) {
        Class<?>[] types = {PeerHandler.class};
        return (PeerHandler)
                Proxy.newProxyInstance(
                        PeerHandler.class.getClassLoader(),
                        types,
                        (proxy, method, args) -> {
                            queue.add(args[args.length - 1]);
                            return null;
                        });
    }
}

package org.geraniumusher.experiments;

import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.DetectorSettings;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MembershipCommand;
import org.geraniumusher.membership.MembershipCommand.Send;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.membership.Seed;
import org.geraniumusher.model.Address;
import org.geraniumusher.peer.AuthorityMessage;
import org.geraniumusher.peer.PeerHandler;
import org.geraniumusher.peer.PeerTransport;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Measures bytes and processor time that membership costs a daemon in a probe period, with real
 * loopback sockets and all daemons in one process. Prints a table. Single use; the main thread is
 * the control thread of all daemons.
 */
public final class MembershipCost {
    private static final String HOST = "127.0.0.1";
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long PERIOD_NANOS = DetectorSettings.DEFAULT.probePeriodNanos();
    private static final long JOIN_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(180);

    /** Headers of UDP and IPv4, in bytes. */
    private static final int HEADER_BYTES = 28;

    /** Daemons started in one tick, so that joining does not overflow the socket buffers. */
    private static final int STARTS_PER_TICK = 5;

    /** Periods between joining and measuring, in which the news of joining dies down. */
    private static final int SETTLE_PERIODS = 40;

    private static final int MEASURED_PERIODS = 40;

    /** Daemons of a first run that is not shown, in which the code is compiled. */
    private static final int WARM_UP_MEMBERS = 200;

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ThreadMXBean mThreads = ManagementFactory.getThreadMXBean();
    private final Queue<Runnable> mEvents = new ConcurrentLinkedQueue<>();
    private final List<Node> mNodes = new ArrayList<>();
    private long mSends;
    private long mControlNanos;

    private MembershipCost() {}

    /** Is what has been used up to a moment. */
    private record Usage(long bytes, long sends, long controlNanos, long loopNanos) {}

    /** Measures each number of members given, or 11, 100 and 1,000. */
    public static void main(String[] args) throws Exception {
        List<Integer> sizes =
                args.length == 0
                        ? List.of(11, 100, 1_000)
                        : List.of(args).stream().map(Integer::valueOf).toList();
        System.out.println(
                "| members | datagrams | bytes | control us | event loop us | in step |");
        System.out.println("|---|---|---|---|---|---|");
        for (int size : sizes) {
            System.out.println(new MembershipCost().measure(size));
        }
    }

    private String measure(int members) throws Exception {
        try {
            startAll(members);
            long limit = System.nanoTime() + JOIN_LIMIT_NANOS;
            while (!isConverged() && System.nanoTime() < limit) {
                runPeriods(1);
            }
            runPeriods(SETTLE_PERIODS);
            Usage before = usage();
            runPeriods(MEASURED_PERIODS);
            return row(members, before, usage());
        } finally {
            mNodes.forEach(node -> node.mTransport.close());
            mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
    }

    private String row(int members, Usage before, Usage after) {
        double share = 1.0 / members / MEASURED_PERIODS;
        long sends = after.sends() - before.sends();
        long bytes = after.bytes() - before.bytes() + sends * HEADER_BYTES;
        return String.format(
                "| %,d | %.1f | %.0f | %.1f | %.1f | %s |",
                members,
                sends * share,
                bytes * share,
                (after.controlNanos() - before.controlNanos()) * share / 1_000,
                (after.loopNanos() - before.loopNanos()) * share / 1_000,
                isConverged() ? "yes" : "no");
    }

    private void startAll(int members) {
        for (int i = 0; i < members; i++) {
            mNodes.add(new Node(i));
            if (i % STARTS_PER_TICK == 0) {
                runUntil(System.nanoTime() + TICK_NANOS);
            }
        }
    }

    private boolean isConverged() {
        return mNodes.stream().allMatch(node -> node.mDetector.alive().size() == mNodes.size());
    }

    private void runPeriods(int periods) {
        runUntil(System.nanoTime() + periods * PERIOD_NANOS);
    }

    private void runUntil(long end) {
        long now = System.nanoTime();
        while (now - end < 0) {
            for (Runnable event = mEvents.poll(); event != null; event = mEvents.poll()) {
                measured(event);
            }
            long tick = now;
            mNodes.stream()
                    .filter(node -> node.mNextTick - tick <= 0)
                    .forEach(node -> measured(node::tick));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
            now = System.nanoTime();
        }
    }

    /** Runs work of a daemon, and counts its processor time without that of this loop. */
    private void measured(Runnable work) {
        long before = mThreads.getCurrentThreadCpuTime();
        work.run();
        mControlNanos += mThreads.getCurrentThreadCpuTime() - before;
    }

    private Usage usage() throws Exception {
        Callable<Long> loopTime = mThreads::getCurrentThreadCpuTime;
        return new Usage(
                mRegistry.counter("peer.sent-bytes").getCount(),
                mSends,
                mControlNanos,
                mGroup.next().submit(loopTime).get());
    }

    /** Is one daemon. */
    private final class Node implements PeerHandler {
        private final PeerTransport mTransport = PeerTransport.bind(mGroup, HOST, 0, mRegistry);
        private final FailureDetector mDetector;
        private long mNextTick;

        Node(int index) {
            Address address = mTransport.address();
            Member self =
                    new Member(
                            "daemon-" + index,
                            1_780_000_000_000L + index,
                            "lautoka-" + index % 3,
                            address,
                            new Address(HOST, 8_001),
                            new Address(HOST, 8_002));
            mDetector = FailureDetector.create(self, DetectorSettings.DEFAULT, index);
            mTransport.start(self, this);
            mNextTick = System.nanoTime();
            if (!mNodes.isEmpty()) {
                Member first = mNodes.get(0).mDetector.self();
                Seed seed = new Seed(first.name(), first.peerAddress());
                perform(mDetector.onSeeds(mNextTick, ImmutableList.of(seed)));
            }
        }

        void tick() {
            long now = System.nanoTime();
            mNextTick = now + TICK_NANOS;
            perform(mDetector.onTick(now));
        }

        private void perform(List<MembershipCommand> commands) {
            for (MembershipCommand command : commands) {
                if (command instanceof Send send) {
                    mSends++;
                    mTransport.send(send.to(), send.message());
                }
            }
        }

        @Override
        public void onMembership(MembershipMessage message) {
            mEvents.add(() -> perform(mDetector.onMessage(System.nanoTime(), message)));
        }

        @Override
        public void onVersions(Member from, Versions versions) {
            // Only the failure detector is measured.
        }

        @Override
        public void onSync(Member from, SyncMessage message) {
            // Only the failure detector is measured.
        }

        @Override
        public void onBurnSummary(BurnSummary summary) {}

        @Override
        public void onAuthority(Member from, AuthorityMessage message) {
            // Only the failure detector is measured.
        }
    }
}

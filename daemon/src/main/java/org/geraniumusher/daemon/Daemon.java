package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.backend.GrantClient;
import org.geraniumusher.caller.CallerContext;
import org.geraniumusher.caller.CallerServer;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.LiveMember;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.ownership.VersionedState;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.platform.StoreWatch;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Wires the duties of one daemon. Thread-safe. */
public final class Daemon implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int TICK_MILLIS = 5;
    private static final int CONTROL_TICK_MILLIS = 25;

    private final Settings mSettings;
    private final EventLoopGroup mIo;
    private final ScheduledExecutorService mDecision =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "decision"));
    private final ScheduledExecutorService mControl =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));
    private final RequestDuty mRequests;
    private final OwnershipRunner mOwnership;
    private final CallerServer mCallers;
    private final CallerServer mForwards;
    private final StoreWatch mWatch;

    private Daemon(Settings settings) {
        mSettings = checkNotNull(settings);
        mIo =
                new MultiThreadIoEventLoopGroup(
                        settings.limits().ioThreads(), NioIoHandler.newFactory());
        mRequests = new RequestDuty(this::offer, System::nanoTime, settings.name().hashCode());
        AtomicLong ids = new AtomicLong(System.nanoTime() << 20);
        mCallers = bind(settings.caller(), false, ids);
        mForwards = bind(settings.forward(), true, ids);
        HttpClient client = HttpClient.create(mIo);
        ObjectApi api = ObjectApi.create(client, settings.platform());
        MemberId id = new MemberId(settings.name(), System.currentTimeMillis());
        mOwnership =
                new OwnershipRunner(
                        new LiveMember(id, settings.dataCentre()),
                        System::nanoTime,
                        new OwnershipPorts(),
                        api,
                        GrantClient.create(client));
        mWatch = StoreWatch.create(api, mIo.next(), new ConfigurationFeed(this::publish));
    }

    /** Starts a daemon; throws when an address cannot be bound. */
    public static Daemon start(Settings settings) {
        Daemon daemon = new Daemon(settings);
        daemon.run();
        return daemon;
    }

    /** Stops the daemon at once. */
    @Override
    public void close() {
        mCallers.close();
        mForwards.close();
        mWatch.close();
        mDecision.shutdown();
        mControl.shutdown();
        mIo.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run() {
        mDecision.scheduleAtFixedRate(
                mRequests::onTick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        mControl.scheduleAtFixedRate(
                mOwnership::onTick, TICK_MILLIS, CONTROL_TICK_MILLIS, TimeUnit.MILLISECONDS);
        mWatch.start();
        LOG.atInfo().log(
                "daemon: started. name=%s caller=%s", mSettings.name(), mSettings.caller());
    }

    private CallerServer bind(Address address, boolean forwarded, AtomicLong ids) {
        Limits limits = mSettings.limits();
        CallerContext context =
                CallerContext.create(
                        mRequests,
                        System::nanoTime,
                        forwarded,
                        new CallerContext.Limits(
                                limits.maxInitialLineBytes(),
                                limits.maxHeaderBytes(),
                                limits.maxConnections(),
                                limits.idleTimeoutMillis(),
                                1_000),
                        ids);
        return CallerServer.bind(mIo, address.host(), address.port(), context);
    }

    private void publish(Configuration configuration) {
        mControl.execute(() -> mOwnership.onConfiguration(configuration));
        offer(() -> mRequests.decider().onConfiguration(System.nanoTime(), configuration));
    }

    private boolean offer(Runnable task) {
        mDecision.execute(task);
        return true;
    }

    /** Connects the ownership decisions with the other duties. */
    private final class OwnershipPorts implements OwnershipRunner.Ports {
        @Override
        public void run(Runnable task) {
            mControl.execute(task);
        }

        @Override
        public void send(AuthorityRequest request) {}

        @Override
        public void send(AuthorityAck ack) {}

        @Override
        public void onShardKnown(VersionedState state) {
            offer(() -> mRequests.decider().onShard(state.state()));
        }

        @Override
        public void onNewIncarnation(String server) {
            offer(() -> mRequests.decider().onNewIncarnation(System.nanoTime(), server));
        }
    }
}

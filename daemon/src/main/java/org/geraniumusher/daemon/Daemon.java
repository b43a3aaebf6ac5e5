package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.flogger.FluentLogger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.caller.CallerContext;
import org.geraniumusher.caller.CallerServer;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Address;
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

    private final Settings mSettings;
    private final EventLoopGroup mIo;
    private final ScheduledExecutorService mDecision =
            Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "decision"));
    private final RequestDuty mRequests;
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
        ObjectApi api = ObjectApi.create(HttpClient.create(mIo), settings.platform());
        mWatch = StoreWatch.create(api, mIo.next(), new ConfigurationFeed(this::offer, mRequests));
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
        mIo.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void run() {
        mDecision.scheduleAtFixedRate(
                mRequests::onTick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
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

    private boolean offer(Runnable task) {
        mDecision.execute(task);
        return true;
    }
}

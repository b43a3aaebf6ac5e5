package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.google.common.collect.ImmutableList;
import com.google.common.flogger.FluentLogger;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.backend.GrantClient;
import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.caller.CallerContext;
import org.geraniumusher.caller.CallerServer;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.membership.Member;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.operator.DaemonView;
import org.geraniumusher.operator.MemberStatus;
import org.geraniumusher.operator.OperatorServer;
import org.geraniumusher.operator.ServiceLevels;
import org.geraniumusher.operator.StoreObjectWriter;
import org.geraniumusher.peer.PeerTransport;
import org.geraniumusher.platform.ObjectApi;
import org.geraniumusher.routing.RoutingConfiguration;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Wires the duties of one daemon.
 *
 * <p>Threads: {@code io} (event loops), {@code decision}, {@code control}, and {@code platform}
 * while the daemon watches the store. Thread-safe.
 */
public final class Daemon implements AutoCloseable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final Duration TICK = Duration.ofMillis(5);
    private static final int CONNECT_TIMEOUT_MILLIS = 250;

    /** Time in which load balancers and other daemons learn that this daemon leaves. */
    private static final long LEAVE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Longest time for which the counts of requests delay the end of a graceful stop. */
    private static final long HAND_OVER_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long DRAIN_POLL_MILLIS = 20;

    private final Settings mSettings;
    private final LongSupplier mClock = System::nanoTime;
    private final MetricRegistry mMetrics = new MetricRegistry();
    private final EventLoopGroup mIo;
    private final Duty mDecision;
    private final RequestDuty mRequests;
    private final ServiceLevels mServiceLevels;
    private final CallerContext mCallerContext;
    private final CallerContext mForwardContext;
    private final CallerServer mCallers;
    private final CallerServer mForwards;
    private final PeerTransport mTransport;
    private final ControlDuty mControl;
    private final BurnReports mBurnReports;
    private final OperatorServer mOperator;
    private final AtomicBoolean mDraining = new AtomicBoolean();
    private final CompletableFuture<Void> mStopped = new CompletableFuture<>();
    private volatile boolean mHasConfiguration;
    private volatile boolean mClosed;

    private Daemon(Settings settings) {
        mSettings = checkNotNull(settings);
        Limits limits = settings.limits();
        long incarnation = System.currentTimeMillis();
        mIo = new MultiThreadIoEventLoopGroup(limits.ioThreads(), NioIoHandler.newFactory());
        mServiceLevels =
                new ServiceLevels(
                        settings.name(), incarnation, mMetrics, mClock, System::currentTimeMillis);
        mRequests =
                new RequestDuty(this::decide, mClock, seed(settings, incarnation), mServiceLevels);
        mDecision =
                Duty.start(
                        "decision",
                        limits.ringCapacity(),
                        TICK,
                        mClock,
                        mRequests::onTick,
                        mMetrics);
        AtomicLong ids = new AtomicLong(seed(settings, incarnation) << 24);
        mCallerContext = context(false, ids);
        mForwardContext = context(true, ids);
        mCallers = bind(settings.caller(), mCallerContext);
        mForwards = bind(settings.forward(), mForwardContext);
        Address peer = settings.peer();
        mTransport = PeerTransport.bind(mIo, peer.host(), peer.port(), mMetrics);
        HttpClient client = HttpClient.create(mIo);
        ObjectApi api = ObjectApi.create(client, settings.platform());
        mControl =
                new ControlDuty(
                        settings,
                        member(settings, incarnation),
                        mClock,
                        mTransport,
                        api,
                        GrantClient.create(client),
                        new RequestConsumers(),
                        mServiceLevels,
                        mMetrics);
        mBurnReports = new BurnReports(settings.name(), client, mServiceLevels::report);
        mOperator =
                OperatorServer.builder()
                        .name(settings.name())
                        .view(new View())
                        .writer(StoreObjectWriter.create(api, mControl::onAccepted))
                        .metrics(mMetrics)
                        .startDrain(this::startDrain)
                        .bind(mIo, settings.operator().host(), settings.operator().port());
        registerGauges();
    }

    /** Starts a daemon; throws when an address cannot be bound. */
    public static Daemon start(Settings settings) {
        Daemon daemon = new Daemon(settings);
        daemon.mControl.start();
        LOG.atInfo().log(
                "daemon: started. name=%s caller=%s operator=%s",
                settings.name(), settings.caller(), settings.operator());
        return daemon;
    }

    /**
     * Starts a graceful stop: tells the other daemons and the load balancer, waits for requests in
     * flight and closes everything. {@link #stopped} completes at the end. Later calls do nothing.
     */
    public void startDrain() {
        if (!mDraining.compareAndSet(false, true)) {
            return;
        }
        LOG.atInfo().log("daemon: graceful stop started. name=%s", mSettings.name());
        mCallerContext.startDraining();
        mForwardContext.startDraining();
        mControl.leave();
        Thread thread = new Thread(this::drain, "drain");
        thread.start();
    }

    /** Completes when a graceful stop has ended. */
    public CompletableFuture<Void> stopped() {
        return mStopped;
    }

    /** Stops the daemon at once; a later call waits for the end of the first one. */
    @Override
    public synchronized void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mCallers.close();
        mForwards.close();
        mOperator.close();
        mControl.close();
        mTransport.close();
        mDecision.close();
        mIo.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mStopped.complete(null);
    }

    private void drain() {
        long start = mClock.getAsLong();
        long limit = TimeUnit.MILLISECONDS.toNanos(mSettings.limits().drainTimeoutMillis());
        boolean waiting = true;
        while (waiting && mClock.getAsLong() - start < limit) {
            boolean busy = mCallerContext.exchanges() + mForwardContext.exchanges() > 0;
            waiting = busy || mClock.getAsLong() - start < LEAVE_NANOS;
            pause();
        }
        handOver();
        LOG.atInfo().log(
                "daemon: graceful stop ends. name=%s requests_cut=%d",
                mSettings.name(), mCallerContext.exchanges() + mForwardContext.exchanges());
        close();
    }

    /** Sends the counts of requests to other daemons, as this one's memory ends here. */
    private void handOver() {
        CompletableFuture<Void> sent = mControl.handOver();
        long start = mClock.getAsLong();
        while (!(sent.isDone() && mTransport.isFlushed())
                && mClock.getAsLong() - start < HAND_OVER_NANOS) {
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void registerGauges() {
        for (ResultCode code : ResultCode.values()) {
            Gauge<Long> gauge =
                    () -> mCallerContext.refusals(code) + mForwardContext.refusals(code);
            mMetrics.register("refusals." + code.name(), gauge);
        }
        Gauge<Integer> exchanges = mCallerContext::exchanges;
        mMetrics.register("caller.requests_in_flight", exchanges);
        Gauge<Integer> forwarded = mForwardContext::exchanges;
        mMetrics.register("forward.requests_in_flight", forwarded);
        Gauge<Integer> undecided = () -> mControl.snapshot().undecided();
        mMetrics.register("ownership.undecided", undecided);
        Gauge<Long> version = () -> mControl.snapshot().configuration().version();
        mMetrics.register("config.version", version);
    }

    private static long seed(Settings settings, long incarnation) {
        return settings.name().hashCode() * 31L + incarnation;
    }

    private static Member member(Settings settings, long incarnation) {
        return new Member(
                settings.name(),
                incarnation,
                settings.dataCentre(),
                settings.peer(),
                settings.forward(),
                settings.operator());
    }

    private CallerContext context(boolean forwarded, AtomicLong ids) {
        Limits limits = mSettings.limits();
        return CallerContext.create(
                mRequests,
                mClock,
                forwarded,
                new CallerContext.Limits(
                        limits.maxInitialLineBytes(),
                        limits.maxHeaderBytes(),
                        limits.maxConnections(),
                        limits.idleTimeoutMillis(),
                        CONNECT_TIMEOUT_MILLIS),
                ids);
    }

    private CallerServer bind(Address address, CallerContext context) {
        return CallerServer.bind(mIo, address.host(), address.port(), context);
    }

    /** What comes after the end is dropped, so that nobody waits for a place in the ring. */
    private boolean decide(Runnable task) {
        return mDecision.offer(task) || mClosed;
    }

    static Map<String, ServiceLevels.Objective> objectives(Configuration configuration) {
        Map<String, ServiceLevels.Objective> objectives = new HashMap<>();
        for (Route route : configuration.routes()) {
            if (route.objective() != null) {
                long latency = TimeUnit.MILLISECONDS.toNanos(route.objective().latencyMillis());
                objectives.put(
                        route.name(),
                        new ServiceLevels.Objective(route.objective().successShare(), latency));
            }
        }
        return objectives;
    }

    /** Hands decisions of the duty control to the duty decision. */
    private final class RequestConsumers implements ControlDuty.Consumers {
        @Override
        public void onConfiguration(Configuration configuration) {
            mHasConfiguration = true;
            mServiceLevels.setObjectives(objectives(configuration));
            RoutingConfiguration view = RoutingConfiguration.of(configuration);
            mRequests.update(d -> d.onConfiguration(mClock.getAsLong(), view));
        }

        @Override
        public void onShard(long version, ShardState state) {
            mRequests.update(decider -> decider.onShard(version, state));
        }

        @Override
        public void onTableLease(String service, long version, long untilNanos) {
            mRequests.update(d -> d.onTableLease(service, version, untilNanos));
        }

        @Override
        public void onGateways(GatewayDaemons gateways) {
            mRequests.update(decider -> decider.onGateways(gateways));
        }

        @Override
        public void onNewIncarnation(String server) {
            mRequests.update(d -> d.onNewIncarnation(mClock.getAsLong(), server));
        }
    }

    /** Shows the daemon to operators. */
    private final class View implements DaemonView {
        @Override
        public Readiness readiness() {
            if (mDraining.get()) {
                return Readiness.DRAINING;
            }
            return mHasConfiguration ? Readiness.READY : Readiness.NO_CONFIGURATION;
        }

        @Override
        public Configuration configuration() {
            return mControl.snapshot().configuration();
        }

        @Override
        public Optional<ShardSnapshot> shard(String service) {
            return Optional.ofNullable(mControl.snapshot().shards().get(service));
        }

        @Override
        public ImmutableList<MemberStatus> members() {
            return mControl.snapshot().members();
        }

        @Override
        public void awaitInForce(long version) {
            mControl.await(version);
        }

        @Override
        public BurnReport burn() {
            return mServiceLevels.report();
        }

        @Override
        public CompletableFuture<BurnReport> burnOfAll() {
            return mBurnReports.ask(mControl.snapshot().collectors());
        }
    }
}

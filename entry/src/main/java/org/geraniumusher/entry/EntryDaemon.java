package org.geraniumusher.entry;

import com.google.common.base.Ascii;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.http.HttpServer;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * An entry daemon: creates its components, starts them and stops them gracefully. Thread-safe.
 *
 * <p>The daemon runs on two threads. The event loop owns all state; the thread of the log writes
 * the lines from a bounded queue.
 */
public final class EntryDaemon {
    private static final long HOUSEKEEPING_INTERVAL_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Time for which callers may still open connections after readiness has been withdrawn, because
     * they learn of it from a check: two intervals between the checks.
     */
    private static final long UNREADY_NOTICE_MILLIS = 2_300;

    /** Time before the end of the grace period at which requests in progress are ended. */
    private static final long END_REQUESTS_MARGIN_MILLIS = 800;

    /** Time before the end of the grace period until which responses are sent. */
    private static final long RESPONSE_MARGIN_MILLIS = 400;

    private final EntrySettings mSettings;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EventLoopGroup mGroup;
    private final EventLoop mLoop;
    private final Directory mDirectory;
    private final Dispatcher mDispatcher;
    private final CoordinatorService mCoordinator;
    private final PeerService mPeerService;
    private final CallerEndpoint mCallerEndpoint;
    private final EntryMetrics mMetrics;
    private final OperatorEndpoint mOperatorEndpoint;
    private final CountDownLatch mStopped = new CountDownLatch(1);
    private volatile boolean mStopping;
    private long mStopStartNanos;
    private boolean mRequestsEnded;
    private long mObjectivesVersion = -1;

    /**
     * The components of a daemon that depend on the platform.
     *
     * @param wire encoding of headers and stored objects
     * @param store store that the daemons share
     * @param control calls that grant keys to backend servers and release them
     */
    public record Adapter(WireFormat wire, Store store, ServerControl control) {}

    /**
     * The clocks of a daemon.
     *
     * @param monotonicNanos monotonic clock in nanoseconds, which may stand still while the machine
     *     is suspended
     * @param wallMillis wall clock in milliseconds since 1970, which counts suspensions
     */
    public record Clocks(LongSupplier monotonicNanos, LongSupplier wallMillis) {}

    private EntryDaemon(
            EntrySettings settings,
            DecisionLog log,
            Function<EventLoopGroup, Adapter> adapterFactory,
            Clocks clocks,
            long incarnation) {
        SuspensionClock clock =
                SuspensionClock.create(clocks.monotonicNanos(), clocks.wallMillis(), log);
        mSettings = settings;
        mClock = clock;
        mMetrics = new EntryMetrics(settings.name(), incarnation, clock, clocks.wallMillis());
        mLog = log;
        EventLoopMonitor monitor = new EventLoopMonitor(clocks.monotonicNanos(), log);
        mGroup = new MultiThreadIoEventLoopGroup(1, monitor.monitoring(NioIoHandler.newFactory()));
        mLoop = mGroup.next();
        Adapter adapter = adapterFactory.apply(mGroup);
        EventThread thread = new EventLoopThread(mLoop, log);
        KeyedRequestStats keyedRequestStats = new KeyedRequestStats();
        MeteredStore store = new MeteredStore(adapter.store(), mMetrics, clock);
        HttpClient client = HttpClient.create(mGroup);
        RelayedStore relayedStore =
                new RelayedStore(
                        store, settings, adapter.wire(), client, thread, clock, log, mMetrics);
        mDirectory = new Directory(relayedStore, adapter.wire(), thread, clock, log);
        store.setTimeoutListener(mDirectory::onCallTimedOut);
        registerGauges(clock, store.epoch(), monitor);
        DaemonContext context =
                new DaemonContext(
                        settings,
                        incarnation,
                        mDirectory,
                        store,
                        adapter.control(),
                        thread,
                        clock,
                        log,
                        mMetrics);
        mCoordinator = new CoordinatorService(context);
        QuarantineService quarantines =
                new QuarantineService(context, clocks.wallMillis(), mCoordinator);
        mCoordinator.setActingListener(quarantines::tick);
        CrashReporter crashReporter = new CrashReporter(context, mCoordinator, quarantines, client);
        ProbationTrials trials = new ProbationTrials(context, mCoordinator, quarantines, client);
        CrashMonitor crashMonitor =
                createCrashMonitor(context, adapter, clocks, crashReporter, trials);
        mDispatcher =
                new Dispatcher(
                        context,
                        adapter.wire(),
                        mGroup,
                        mCoordinator,
                        client,
                        keyedRequestStats,
                        crashMonitor);
        mDispatcher.setUnreachableListener(mCoordinator::renewGrants);
        mCoordinator.setServerLimits(mDispatcher.upstreams()::limitOf);
        FleetStatus fleet =
                new FleetStatus(
                        context,
                        mCoordinator,
                        client,
                        mDispatcher.upstreams(),
                        clocks.wallMillis());
        mCallerEndpoint = new CallerEndpoint(context, mDispatcher, adapter.wire(), mGroup);
        mPeerService =
                new PeerService(
                        context,
                        adapter.wire(),
                        mCoordinator,
                        mDispatcher,
                        keyedRequestStats,
                        fleet,
                        relayedStore,
                        crashReporter,
                        trials,
                        client,
                        mCallerEndpoint.forwardedRequests(),
                        mGroup);
        mOperatorEndpoint =
                new OperatorEndpoint(
                        context, mCoordinator, mPeerService, fleet, clocks.wallMillis());
    }

    private CrashMonitor createCrashMonitor(
            DaemonContext context,
            Adapter adapter,
            Clocks clocks,
            CrashReporter reporter,
            ProbationTrials trials) {
        return new CrashMonitor(
                context,
                adapter.wire().headers(),
                clocks.wallMillis(),
                ConnectProbe.create(mGroup),
                reporter,
                trials);
    }

    private void registerGauges(SuspensionClock clock, StoreEpoch epoch, EventLoopMonitor monitor) {
        mMetrics.registerGauge("process.open_files", OpenFiles::count);
        mMetrics.registerGauge("event_loop.stalls", monitor::stalls);
        mMetrics.registerGauge("event_loop.longest_pass_ms", monitor::longestPassMillis);
        mMetrics.registerGauge("servers.unusable_entries", mDirectory::unusableServers);
        mMetrics.registerGauge("clock.suspensions", clock::suspensions);
        mMetrics.registerGauge(
                "configuration.version",
                () -> mDirectory.configuration().map(c -> (int) c.version()).orElse(-1));
        for (GuardedWatch.Reason reason : GuardedWatch.Reason.values()) {
            mMetrics.registerGauge(
                    "store.watches_given_up." + Ascii.toLowerCase(reason.name()),
                    () -> mDirectory.watchesGivenUp(reason));
        }
        for (KindMirror mirror : mDirectory.mirrors()) {
            mMetrics.registerGauge(
                    "store.copy_age_ms." + Ascii.toLowerCase(mirror.kind().name()),
                    () -> (int) mDirectory.copyAgeMillis(mirror.kind()));
        }
        mMetrics.registerGauge("store.epoch", () -> (int) epoch.current());
        mMetrics.registerGauge(
                "store.answers_from_earlier_epoch", () -> (int) epoch.droppedAnswers());
    }

    /**
     * Starts a daemon.
     *
     * @param adapterFactory creates the components that depend on the platform, which run on the
     *     event loop group
     * @param incarnation number that grows with each start of the daemon and so distinguishes its
     *     incarnations
     */
    public static EntryDaemon start(
            EntrySettings settings,
            DecisionLog log,
            Function<EventLoopGroup, Adapter> adapterFactory,
            Clocks clocks,
            long incarnation) {
        EntryDaemon daemon = new EntryDaemon(settings, log, adapterFactory, clocks, incarnation);
        daemon.listen();
        daemon.mLoop.execute(daemon::startOnEventLoop);
        return daemon;
    }

    /**
     * Binds the servers for readiness checks and operators. Binding blocks: not on the event loop.
     */
    private void listen() {
        HttpServer.create(
                mGroup,
                mSettings.readinessAddress(),
                (call, responder) ->
                        responder.reply(
                                HttpReply.of(
                                        mDirectory.isComplete() && !mStopping ? 200 : 503, "")),
                AcceptFailures.listener(mLog, mMetrics, "readiness"));
        mSettings
                .metricsAddress()
                .ifPresent(
                        address ->
                                HttpServer.create(
                                        mGroup,
                                        address,
                                        (call, responder) ->
                                                mLoop.execute(
                                                        () ->
                                                                mOperatorEndpoint.answer(
                                                                        call, responder)),
                                        AcceptFailures.listener(mLog, mMetrics, "operators")));
    }

    private void startOnEventLoop() {
        mDirectory.addListener(this::updateObjectives);
        mDirectory.addListener(mDispatcher::onDirectoryChange);
        mDirectory.addListener(mCoordinator::onDirectoryChange);
        mDirectory.start();
        mCoordinator.start();
        mPeerService.start();
        runHousekeeping();
        mLog.write(
                Part.DAEMON,
                "Started",
                "daemon",
                mSettings.name(),
                "data_centre",
                mSettings.dataCentre(),
                "callers",
                mSettings.callerAddress());
    }

    private void updateObjectives() {
        mDirectory
                .configuration()
                .filter(configuration -> configuration.version() != mObjectivesVersion)
                .ifPresent(
                        configuration -> {
                            mObjectivesVersion = configuration.version();
                            mMetrics.updateObjectives(configuration);
                        });
    }

    private void runHousekeeping() {
        long nowNanos = mClock.getAsLong();
        mDispatcher.upstreams().closeExpired();
        mDispatcher.forwarder().closeExpired();
        mCallerEndpoint.closeIdle(nowNanos);
        mLoop.schedule(this::runHousekeeping, HOUSEKEEPING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Stops gracefully: fails readiness checks, finishes the requests in progress as far as the
     * grace period allows, and closes the log. Blocks, so it must not be called on the event loop.
     */
    public void stop() {
        mLoop.execute(this::beginStop);
        try {
            long waitMillis =
                    mSettings.stopGraceNanos() / NANOS_PER_MILLI - RESPONSE_MARGIN_MILLIS / 2;
            if (!mStopped.await(waitMillis, TimeUnit.MILLISECONDS)) {
                mLog.write(
                        Part.DAEMON,
                        "Event loop did not finish the stop in time",
                        "requests",
                        mDispatcher.requestsInProgress());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mLog.write(Part.DAEMON, "Stopped", "daemon", mSettings.name());
        mLog.close();
    }

    /** Stops at once, without finishing the requests in progress. */
    public void close() {
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        mLog.close();
    }

    private void beginStop() {
        mStopping = true;
        mStopStartNanos = mClock.getAsLong();
        mCallerEndpoint.beginStop();
        mLog.write(
                Part.DAEMON,
                "Stopping",
                "requests",
                mDispatcher.requestsInProgress(),
                "daemon",
                mSettings.name());
        mCoordinator.resign();
        checkStopped();
    }

    /**
     * Lets {@link #stop} return once the daemon is idle or its grace period is nearly over.
     * Requests that are still in progress then get an error response first.
     */
    private void checkStopped() {
        long elapsedMillis = (mClock.getAsLong() - mStopStartNanos) / NANOS_PER_MILLI;
        if (elapsedMillis >= UNREADY_NOTICE_MILLIS) {
            mDispatcher.beginStop();
            mCallerEndpoint.beginClosingIdle();
            mCallerEndpoint.closeIdle(mClock.getAsLong());
            long remainingMillis = mSettings.stopGraceNanos() / NANOS_PER_MILLI - elapsedMillis;
            if (remainingMillis <= END_REQUESTS_MARGIN_MILLIS && !mRequestsEnded) {
                mRequestsEnded = true;
                mLog.write(
                        Part.DAEMON,
                        "Ending the requests in progress before the exit",
                        "requests",
                        mDispatcher.requestsInProgress());
                mDispatcher.endRequestsInProgress();
            }
            if (mCallerEndpoint.connectionCount() == 0 && mDispatcher.requestsInProgress() == 0) {
                mStopped.countDown();
                return;
            }
            if (remainingMillis <= RESPONSE_MARGIN_MILLIS) {
                mLog.write(
                        Part.DAEMON,
                        "Exiting with open connections of callers",
                        "connections",
                        mCallerEndpoint.connectionCount());
                mStopped.countDown();
                return;
            }
        }
        mLoop.schedule(this::checkStopped, 100, TimeUnit.MILLISECONDS);
    }

    /** Runs tasks on an event loop and logs those that fail. */
    private record EventLoopThread(EventLoop loop, DecisionLog log) implements EventThread {
        @Override
        public void execute(Runnable task) {
            if (loop.inEventLoop()) {
                loggingFailures(task).run();
            } else {
                loop.execute(loggingFailures(task));
            }
        }

        @Override
        public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
            return loop.schedule(loggingFailures(task), delay, unit);
        }

        private Runnable loggingFailures(Runnable task) {
            return () -> {
                try {
                    task.run();
                } catch (RuntimeException | Error e) {
                    log.write(Part.DAEMON, "Task failed", "cause", e, "at", e.getStackTrace()[0]);
                    throw e;
                }
            };
        }
    }
}

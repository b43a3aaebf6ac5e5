package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.CoordinatorElection;
import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.keyrange.KeyLoad;
import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.keyrange.NextOwner;
import org.geraniumusher.keyrange.RangeCoordinator;
import org.geraniumusher.keyrange.RangeServer;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.traffic.ServerEntry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * Performs the I/O of the {@link RangeCoordinator} of one keyed service: sends its calls to the
 * store and to backend servers and passes the results back. Confined to the event loop.
 *
 * <p>Invariant: the coordinator sends calls only while this daemon has the authority to coordinate
 * and the term of this driver has not ended. Results are passed to it at any time.
 */
final class RangeCoordinatorDriver implements RangeCoordinator.OutgoingCalls {
    /**
     * Time for which the set of servers must be unchanged before the first table of a service is
     * written, so that servers that register at about the same time all get keys from it.
     */
    private static final long FIRST_TABLE_DELAY_NANOS = 1_000_000_000L;

    /** Interval at which unchanged grants are published again, in case a message was lost. */
    private static final long REPUBLISH_INTERVAL_NANOS = 1_000_000_000L;

    /** Capacity of a server that is still warming up, as a share of its full capacity. */
    private static final double COLD_CAPACITY_FACTOR = 0.4;

    /** Weight of a new sample in the moving average of the request time of one server. */
    private static final double SERVER_SMOOTHING_FACTOR = 0.05;

    /**
     * Weight of a new sample in the moving average of the request time of all servers, which
     * changes more slowly than that of a single server.
     */
    private static final double MEAN_SMOOTHING_FACTOR = 0.01;

    /** Bounds of the speed of a server relative to the mean of all servers. */
    private static final double MIN_RELATIVE_SPEED = 0.4;

    /** Least capacity of a server with a limit, as a fraction of what it has without. */
    private static final double MIN_LIMITED_FRACTION = 0.05;

    private static final double MAX_RELATIVE_SPEED = 1.6;

    /** Publishes tables and grants of the coordinator to other daemons. */
    interface Publisher {
        /** A publisher that does nothing. */
        Publisher NONE =
                new Publisher() {
                    @Override
                    public void publish(
                            String service, Optional<RangeTable> previous, RangeTable next) {}

                    @Override
                    public void publishGranted(String service, List<Assignment> granted) {}

                    @Override
                    public void publishNextOwners(String service, List<NextOwner> nextOwners) {}
                };

        /**
         * Publishes a table that is in the store.
         *
         * @param previous the table that was published before, or empty if there was none
         */
        void publish(String service, Optional<RangeTable> previous, RangeTable next);

        /** Publishes granted ranges that the table in the store still shows as moving. */
        void publishGranted(String service, List<Assignment> granted);

        /** Publishes all ranges of the service whose next owner is known to come later. */
        void publishNextOwners(String service, List<NextOwner> nextOwners);
    }

    private final String mService;

    /** This daemon and its incarnation, which distinguish its tables in the store. */
    private final String mWriter;

    private final Publisher mPublisher;
    private final BooleanSupplier mHasAuthority;
    private final Directory mDirectory;
    private final Store mStore;
    private final ServerControl mControl;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final EntryMetrics mMetrics;
    private final KeyLoad mLoad;
    private final RangeCoordinator mCoordinator;

    /** A tick looks at all ranges, so one serves all results that arrive together. */
    private final CoalescedTask mTickAfterResults;

    /** All incarnations seen during this term, by ID, including those no longer listed. */
    private final Map<String, ServerEntry> mKnownServers = new HashMap<>();

    /** Moving average of the request time of each incarnation. */
    private final Map<String, Double> mRequestSeconds = new HashMap<>();

    private final Map<String, Long> mColdUntilNanos = new HashMap<>();

    /** Moving average of the request time of all servers, or 0 before the first sample. */
    private double mMeanRequestSeconds;

    private Function<String, OptionalDouble> mServerLimits = id -> OptionalDouble.empty();

    /** The entries last processed. The directory returns a new map after each change. */
    private ImmutableMap<String, ServerEntry> mLastListedServers = ImmutableMap.of();

    /**
     * Incarnations that are listed or may register again: those listed when the present outage or
     * restore began, or since. One that was lost before may not come back.
     */
    private final Set<String> mMayReregister = new HashSet<>();

    private boolean mEnded;
    private boolean mTableReadInFlight;
    private CoordinatorElection.FormerCoordinators mFormerCoordinators;
    private ImmutableList<Assignment> mLastGranted = ImmutableList.of();
    private long mGrantsPublishedAt;
    private ImmutableList<NextOwner> mLastNextOwners = ImmutableList.of();
    private long mNextOwnersPublishedAt;
    private Optional<RangeTable> mPublishedTable = Optional.empty();
    private long mServersChangedAt;
    private ImmutableList<String> mLastIncarnationIds = ImmutableList.of();

    /**
     * Creates a driver for one keyed service. The coordinator is started by a later {@link #tick}.
     *
     * @param hasAuthority reports whether this daemon has the authority to coordinate now
     * @param formerReport what the coordinator before this term knew of its holds, if it said so
     */
    RangeCoordinatorDriver(
            String service,
            Publisher publisher,
            BooleanSupplier hasAuthority,
            Optional<HoldReport> formerReport,
            DaemonContext context) {
        mService = service;
        mWriter = context.settings().name() + "/" + context.incarnation();
        mPublisher = publisher;
        mHasAuthority = hasAuthority;
        mDirectory = context.directory();
        mStore = context.store();
        mControl = context.control();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mMetrics = context.metrics();
        mTickAfterResults = new CoalescedTask(mThread, () -> tickIfAuthorized(mClock.getAsLong()));
        mLoad = KeyLoad.create(mClock.getAsLong());
        mCoordinator =
                RangeCoordinator.create(
                        this,
                        context.settings().maxHoldNanos(),
                        mLoad,
                        mDirectory.tables().formerHolders(service));
        formerReport.ifPresent(mCoordinator::setFormerReport);
        mCoordinator.setHoldListener(new HoldLog(mService, mMetrics, mLog));
        StoreEpoch epoch = mStore.epoch();
        if (epoch.mayBeRestored()) {
            mCoordinator.onNewEpoch(epoch.current());
        } else {
            mCoordinator.setInitialEpoch(epoch.current());
        }
    }

    /**
     * Continues after a restore of the store, and reads the table that the store has now to learn
     * which revision to replace.
     */
    void onNewEpoch() {
        mCoordinator.onNewEpoch(mStore.epoch().current());
        if (mCoordinator.isStarted()) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Continues to coordinate the service after a restore of the store",
                    "service",
                    mService,
                    "epoch",
                    mStore.epoch().current(),
                    "table",
                    mCoordinator.table().map(t -> t.version().toString()).orElse(""));
            readTable();
        } else {
            mTableReadInFlight = false;
        }
    }

    /**
     * Ends the term. Results that arrive later cause no calls, also if this daemon has authority
     * again, which then is that of another driver.
     */
    void end() {
        mEnded = true;
    }

    /**
     * Starts the coordinator if it has not started, and lets it send the calls that are due. Must
     * be called only with authority.
     */
    void tick(CoordinatorElection election) {
        long now = mClock.getAsLong();
        mCoordinator.setStoreStatus(election.confirmedAt(), election.isStoreUnavailable(now));
        mFormerCoordinators = election.formerCoordinators();
        updateServers(now);
        if (!mCoordinator.isStarted()) {
            readTableIfDue(now);
            return;
        }
        if (mCoordinator.needsStoredTable() && !mTableReadInFlight) {
            readTable();
        }
        tickIfAuthorized(now);
        publishGrantsWhileMoving(now);
        publishNextOwners(now);
    }

    /**
     * Publishes when ranges without an owner have one again, and repeats it while there are any.
     */
    private void publishNextOwners(long now) {
        ImmutableList<NextOwner> nextOwners = mCoordinator.nextOwners(now);
        boolean republishDue =
                !nextOwners.isEmpty() && now - mNextOwnersPublishedAt >= REPUBLISH_INTERVAL_NANOS;
        if (republishDue || !nextOwners.equals(mLastNextOwners)) {
            mNextOwnersPublishedAt = now;
            mPublisher.publishNextOwners(mService, nextOwners);
        }
        mLastNextOwners = nextOwners;
    }

    /**
     * Publishes grants that the table does not show yet because the store is slow or unreachable.
     */
    private void publishGrantsWhileMoving(long now) {
        ImmutableList<Assignment> granted = mCoordinator.grantedWhileMoving();
        boolean republishDue = now - mGrantsPublishedAt >= REPUBLISH_INTERVAL_NANOS;
        if (!granted.isEmpty() && (republishDue || !granted.equals(mLastGranted))) {
            mGrantsPublishedAt = now;
            mPublisher.publishGranted(mService, granted);
        }
        mLastGranted = granted;
    }

    /**
     * Lets the coordinator send the calls that are due, if this daemon has authority in this term.
     * The check is needed because the result of a call may arrive after the authority has expired,
     * when another daemon may coordinate.
     */
    private void tickIfAuthorized(long now) {
        if (!mEnded && mHasAuthority.getAsBoolean()) {
            mCoordinator.tick(now);
        }
    }

    /** Returns the holds that are known, or empty if no table of this term is in the store. */
    Optional<HoldReport> holdReport() {
        return mCoordinator.holdReport();
    }

    /** Returns the servers of the service that may own ranges. */
    ImmutableList<String> servers() {
        return mLastIncarnationIds;
    }

    /** Returns those of {@link #servers} whose last grant failed. */
    ImmutableSet<String> failingServers() {
        return mCoordinator.failingServers();
    }

    /** Sets whether servers that fail are not taken for lost for now. */
    void setLossesHeldBack(boolean heldBack) {
        mCoordinator.setLossesHeldBack(heldBack);
    }

    private void readTableIfDue(long now) {
        if (mTableReadInFlight
                || mLastIncarnationIds.isEmpty()
                || now - mServersChangedAt < tableReadDelayNanos()) {
            return;
        }
        readTable();
    }

    private void readTable() {
        mTableReadInFlight = true;
        long epoch = mStore.epoch().current();
        mStore.read(StoreKind.RANGES, mService)
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () -> runIfCurrent(epoch, () -> onTableRead(result))));
    }

    /** Runs the task unless the store was restored since a call was sent in {@code epoch}. */
    private void runIfCurrent(long epoch, Runnable task) {
        if (epoch == mStore.epoch().current()) {
            task.run();
        }
    }

    private long tableReadDelayNanos() {
        return mDirectory.table(mService).isPresent() ? 0 : FIRST_TABLE_DELAY_NANOS;
    }

    private void onTableRead(StoreResult result) {
        mTableReadInFlight = false;
        if (!(result instanceof StoreResult.Written || result instanceof StoreResult.NotFound)) {
            return;
        }
        long now = mClock.getAsLong();
        Optional<RangeTable> table =
                result instanceof StoreResult.Written found
                        ? Optional.of(decode(found.object()))
                        : Optional.empty();
        if (mCoordinator.isStarted()) {
            mCoordinator.onStoredTable(table, now);
        } else {
            mCoordinator.start(table, mFormerCoordinators, now);
            mLog.write(
                    Part.OWNERSHIP,
                    "Started to coordinate the service",
                    "service",
                    mService,
                    "table",
                    table.map(t -> t.version().toString()).orElse(""),
                    "epoch",
                    mStore.epoch().current(),
                    "first_write_in_ms",
                    TimeUnit.NANOSECONDS.toMillis(mCoordinator.nextWriteAt() - now));
        }
        tickIfAuthorized(now);
    }

    private static RangeTable decode(StoreObject object) {
        return RangeTableCodec.decode(object.revision(), object.spec());
    }

    private void updateServers(long now) {
        ImmutableMap<String, ServerEntry> listedServers = mDirectory.servers();
        if (listedServers != mLastListedServers) {
            mLastListedServers = listedServers;
            listedServers.values().forEach(entry -> recordEntry(entry, now));
        }
        boolean mayReregister = mDirectory.mayMissingServersReregister(now);
        if (!mayReregister) {
            mMayReregister.clear();
        }
        mMayReregister.addAll(listedServers.keySet());
        List<RangeServer> servers = new ArrayList<>();
        for (ServerEntry entry : mKnownServers.values()) {
            boolean isListed = listedServers.containsKey(entry.incarnationId());
            // Also of a server whose entry is missing, which the entry that is known does not show.
            boolean leaving = entry.leaving() || mDirectory.isLeaving(entry.incarnationId());
            boolean inService = isListed && !leaving && !mDirectory.isOutOfService(entry);
            // An entry may have expired during a store outage, or been lost in a restore, while its
            // server still runs. Until the server has had time to register again, it keeps its
            // keys.
            if (isListed || mayReregister && mMayReregister.contains(entry.incarnationId())) {
                boolean acceptsRanges = inService || !isListed && !leaving;
                servers.add(
                        new RangeServer(
                                entry.incarnationId(), capacity(entry, now), acceptsRanges));
            }
        }
        servers.sort((a, b) -> a.incarnationId().compareTo(b.incarnationId()));
        ImmutableList<String> incarnationIds =
                servers.stream()
                        .map(RangeServer::incarnationId)
                        .collect(ImmutableList.toImmutableList());
        if (!incarnationIds.equals(mLastIncarnationIds)) {
            mLastIncarnationIds = incarnationIds;
            mServersChangedAt = now;
        }
        mCoordinator.onServers(servers);
    }

    private void recordEntry(ServerEntry entry, long now) {
        checkPredecessors(entry);
        if (!entry.service().equals(mService)) {
            return;
        }
        ServerEntry known = mKnownServers.put(entry.incarnationId(), entry);
        if (entry.remainingColdNanos() > 0 && !entry.equals(known)) {
            mColdUntilNanos.put(entry.incarnationId(), now + entry.remainingColdNanos());
        }
    }

    /**
     * Looks for earlier incarnations with the ID or the address of {@code entry}, which may have
     * terminated. An entry does not prove that, since any writer can leave one: the address of such
     * an incarnation is asked, and only an answer for another ID is a proof. An incarnation with
     * both the same ID and the same address accepts the calls to the previous one.
     */
    private void checkPredecessors(ServerEntry entry) {
        for (ServerEntry other : mKnownServers.values()) {
            if (other.startMillis() >= entry.startMillis()) {
                continue;
            }
            boolean sharesId = other.id().equals(entry.id());
            boolean sharesAddress = other.address().equals(entry.address());
            if (sharesId && sharesAddress) {
                mCoordinator.onReplaced(other.incarnationId());
            } else if (sharesId || sharesAddress) {
                renewGrants(other.incarnationId());
            }
        }
    }

    /**
     * Returns the work in seconds that a server can do in the window of the key load, from its
     * slots and its speed relative to the mean of all servers.
     */
    /** Sets what returns the requests per second that a limited incarnation takes. */
    void setServerLimits(Function<String, OptionalDouble> limits) {
        mServerLimits = limits;
    }

    private double capacity(ServerEntry entry, long now) {
        double seconds = mRequestSeconds.getOrDefault(entry.incarnationId(), mMeanRequestSeconds);
        double speed = seconds <= 0 ? 1 : mMeanRequestSeconds / seconds;
        speed = Math.max(MIN_RELATIVE_SPEED, Math.min(MAX_RELATIVE_SPEED, speed));
        boolean cold = now < mColdUntilNanos.getOrDefault(entry.incarnationId(), now);
        double unlimited =
                entry.slots()
                        * speed
                        * mLoad.windowSeconds(now)
                        * (cold ? COLD_CAPACITY_FACTOR : 1);
        OptionalDouble limit = mServerLimits.apply(entry.incarnationId());
        if (limit.isEmpty() || mMeanRequestSeconds == 0) {
            return unlimited;
        }
        // Load and capacity are times of work.
        double limited = limit.getAsDouble() * mMeanRequestSeconds * mLoad.windowSeconds(now);
        return Math.max(MIN_LIMITED_FRACTION * unlimited, Math.min(unlimited, limited));
    }

    /** Updates the request times of servers and the load of keys from the report of a daemon. */
    void onReport(KeyedRequestStats.Report report) {
        for (KeyedRequestStats.Execution execution : report.executions()) {
            double seconds = execution.durationNanos() / 1e9;
            mMeanRequestSeconds =
                    mMeanRequestSeconds == 0
                            ? seconds
                            : mMeanRequestSeconds
                                    + MEAN_SMOOTHING_FACTOR * (seconds - mMeanRequestSeconds);
            mRequestSeconds.merge(
                    execution.incarnationId(),
                    seconds,
                    (mean, sample) -> mean + SERVER_SMOOTHING_FACTOR * (sample - mean));
        }
        long now = mClock.getAsLong();
        double work =
                mMeanRequestSeconds == 0
                        ? UpstreamSet.INITIAL_SERVICE_NANOS / 1e9
                        : mMeanRequestSeconds;
        report.requestedKeys().forEach(key -> mLoad.add(key, work, now));
    }

    /**
     * Makes the grants of an incarnation due for renewal on the next tick, which shows whether it
     * still answers.
     */
    void renewGrants(String incarnationId) {
        mCoordinator.renewGrants(incarnationId, mClock.getAsLong());
    }

    @Override
    public void write(ImmutableList<Assignment> assignments, long expectedRevision) {
        // The store may have been restored since; the table is one of this term's epoch.
        long epoch = mCoordinator.epoch();
        long storeEpoch = mStore.epoch().current();
        ObjectNode spec = RangeTableCodec.encode(epoch, assignments);
        // The store does not raise the revision, from which fences are derived, for a write without
        // a change.
        spec.put("writer", mWriter);
        spec.put("written_at", mClock.getAsLong());
        var call =
                expectedRevision == 0
                        ? mStore.create(StoreKind.RANGES, mService, spec)
                        : mStore.replace(StoreKind.RANGES, mService, spec, expectedRevision);
        long moving = assignments.stream().filter(Assignment::isMoving).count();
        mLog.write(
                Part.OWNERSHIP,
                "Writing the range table",
                "service",
                mService,
                "ranges",
                assignments.size(),
                "moving",
                moving,
                "epoch",
                epoch,
                "expected_revision",
                expectedRevision);
        call.thenAccept(
                result ->
                        mThread.execute(
                                () ->
                                        runIfCurrent(
                                                storeEpoch, () -> onWriteResult(result, epoch))));
    }

    private void onWriteResult(StoreResult result, long epoch) {
        long now = mClock.getAsLong();
        mMetrics.onCall("table_write", result.getClass().getSimpleName());
        if (result instanceof StoreResult.Written written) {
            mCoordinator.onWritten(new StoreVersion(epoch, written.object().revision()), now);
        } else if (result instanceof StoreResult.Conflict conflict) {
            onWriteConflict(conflict.object(), now);
        } else {
            mLog.write(Part.OWNERSHIP, "Range table write was not confirmed", "result", result);
            mCoordinator.onWriteUnknown(now);
        }
        // Grants go first, as they are given up sooner than notices if the link is full.
        tickIfAuthorized(now);
        if (!mEnded) {
            publishTableIfChanged();
        }
    }

    private void onWriteConflict(StoreObject object, long now) {
        RangeTable current;
        try {
            current = decode(object);
        } catch (IllegalArgumentException e) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Cannot decode the range table in the store",
                    "service",
                    mService,
                    "revision",
                    object.revision(),
                    "reason",
                    e.getMessage());
            mCoordinator.onWriteUnknown(now);
            return;
        }
        mCoordinator.onWriteConflict(current, now);
    }

    private void publishTableIfChanged() {
        Optional<RangeTable> next = mCoordinator.table();
        if (next.isPresent() && !next.equals(mPublishedTable)) {
            mPublisher.publish(mService, mPublishedTable, next.get());
            mPublishedTable = next;
        }
    }

    @Override
    public void grant(Assignment assignment, long holdNanos, Optional<String> handover) {
        ServerEntry server = mKnownServers.get(assignment.owner());
        if (server == null) {
            mThread.execute(() -> mCoordinator.onGrantUnknown(assignment, mClock.getAsLong()));
            return;
        }
        mControl.grant(server, assignment.range(), assignment.fence(), holdNanos, handover)
                .thenAccept(
                        result -> mThread.execute(() -> onGrantResult(assignment, server, result)));
    }

    private void onGrantResult(Assignment assignment, ServerEntry server, GrantResult result) {
        long now = mClock.getAsLong();
        mMetrics.onCall("grant", result.getClass().getSimpleName());
        boolean moving = assignment.isMoving();
        recordServerState(server, result);
        if (result instanceof GrantResult.Done) {
            mCoordinator.onGranted(assignment, now);
        } else {
            logFailure("Grant failed", assignment.range(), server, result);
            if (result instanceof GrantResult.Fenced) {
                mCoordinator.onGrantFenced(assignment);
            } else if (result instanceof GrantResult.ConnectionRefused) {
                mCoordinator.onGrantNotSent(assignment, now);
            } else {
                mCoordinator.onGrantUnknown(assignment, now);
            }
        }
        if (moving || !(result instanceof GrantResult.Done)) {
            mTickAfterResults.request();
        }
    }

    private void logFailure(String event, KeyRange range, ServerEntry server, GrantResult result) {
        mLog.write(
                Part.OWNERSHIP,
                event,
                "service",
                mService,
                "server",
                server.incarnationId(),
                "range",
                range,
                "result",
                result);
    }

    /** Records what the answer to a call tells of a server. */
    private void recordServerState(ServerEntry server, GrantResult result) {
        detectTermination(server, result);
        if (result.leaving()) {
            mDirectory.markLeaving(server.incarnationId());
        }
    }

    /**
     * Records the end of a server at whose address another one answers. Nothing else proves an end:
     * a server that is cut off, that leaves or that is over its limit of connections may refuse
     * them and still work on its keys.
     */
    private void detectTermination(ServerEntry server, GrantResult result) {
        if (result instanceof GrantResult.OtherServer) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Server has terminated",
                    "service",
                    mService,
                    "server",
                    server.incarnationId(),
                    "proof",
                    result);
            mCoordinator.onTerminated(server.incarnationId());
        }
    }

    @Override
    public void release(String incarnationId, KeyRange range, long fence) {
        ServerEntry server = mKnownServers.get(incarnationId);
        if (server == null) {
            // Without the address no release can be sent, and the hold must run out.
            return;
        }
        mControl.release(server, range, fence)
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () -> onReleaseResult(server, range, fence, result)));
    }

    private void onReleaseResult(
            ServerEntry server, KeyRange range, long fence, GrantResult result) {
        long now = mClock.getAsLong();
        mMetrics.onCall("release", result.getClass().getSimpleName());
        recordServerState(server, result);
        if (result instanceof GrantResult.Done done) {
            mCoordinator.onReleased(server.incarnationId(), range, fence, done.handover());
        } else {
            logFailure("Release failed", range, server, result);
            mCoordinator.onReleaseUnknown(server.incarnationId(), range, fence, now);
        }
        mTickAfterResults.request();
    }
}

package org.geraniumusher.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.keyrange.CoordinatorElection;
import org.geraniumusher.keyrange.CoordinatorReach;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.keyrange.HoldReport;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.traffic.Drain;
import org.geraniumusher.traffic.ServiceRule;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Takes part in the election of the coordinator and runs a {@link RangeCoordinatorDriver} for each
 * keyed service while this daemon has the authority to coordinate. Resigns for a while if a peer
 * reaches more servers. Confined to the event loop.
 */
final class CoordinatorService {
    private static final String RECORD_NAME = "coordinator";
    private static final String EPOCH = "epoch";

    /** Interval of ticks while this daemon is the coordinator. */
    private static final long ACTING_TICK_MILLIS = 100;

    /** Interval of ticks while this daemon is not the coordinator. */
    private static final long WATCHING_TICK_MILLIS = 500;

    /** Interval of reads of the record by a daemon without authority. */
    private static final long POLL_INTERVAL_NANOS = 1_000_000_000L;

    private static final long DRAIN_WRITE_INTERVAL_NANOS = 1_000_000_000L;

    /** Interval between attempts to write the record, or to read it after a restore. */
    private static final long RETRY_INTERVAL_NANOS = 300_000_000L;

    /** Age of the last answer of the store with which this daemon could still be elected. */
    private static final long MAX_RECORD_AGE_NANOS = 3_000_000_000L;

    /** Asks peers which servers they reach. */
    interface PeerReach {
        /** Reaches no peers and never has an outcome. */
        PeerReach NONE =
                new PeerReach() {
                    @Override
                    public void ask(
                            Collection<String> servers,
                            Collection<String> failing,
                            Consumer<Outcome> onOutcome) {}

                    @Override
                    public void nominate(Address peer) {}
                };

        /**
         * How many of the servers daemons reach.
         *
         * @param bestPeer the peer that reaches most servers, empty if none reaches any
         */
        record Outcome(int reachedHere, int reachedByPeer, Optional<Address> bestPeer) {}

        /**
         * Counts the servers that this daemon and peers reach; the outcome comes later.
         *
         * @param servers IDs of incarnations
         * @param failing those of them that do not answer the grants of this daemon
         */
        void ask(
                Collection<String> servers,
                Collection<String> failing,
                Consumer<Outcome> onOutcome);

        /** Asks a peer to stand for election at once. */
        void nominate(Address peer);
    }

    private final DaemonContext mContext;
    private final EntrySettings mSettings;
    private final long mIncarnation;
    private final Directory mDirectory;
    private final Store mStore;
    private final EventThread mThread;
    private final SuspensionClock mClock;
    private final DecisionLog mLog;
    private final CoordinatorElection mElection;
    private final CoordinatorReach mReach = new CoordinatorReach();

    /** The drivers of the current term, by service; empty while the record names another daemon. */
    private final Map<String, RangeCoordinatorDriver> mDrivers = new HashMap<>();

    private final HoldReports mHoldReports;

    private Runnable mActingListener = () -> {};
    private Function<String, OptionalDouble> mServerLimits = id -> OptionalDouble.empty();
    private RangeCoordinatorDriver.Publisher mPublisher = RangeCoordinatorDriver.Publisher.NONE;
    private PeerReach mPeerReach = PeerReach.NONE;

    /** The peer that reached most servers in the last inquiry. */
    private Optional<Address> mBestPeer = Optional.empty();

    private boolean mStoreCallInFlight;

    /** Whether this daemon was asked to stand for election, until it reads the record. */
    private boolean mNominated;

    /** When the record was last read from the store. */
    private long mRecordReadAt;

    /** Incremented to invalidate the call in flight. */
    private long mCallGeneration;

    private long mNextPollAt;
    private long mNextWriteAt;
    private long mNextDrainWriteAt = Long.MIN_VALUE;
    private boolean mActing;
    private long mActingSinceNanos;
    private boolean mResigned;

    CoordinatorService(DaemonContext context) {
        mContext = context;
        mSettings = context.settings();
        mIncarnation = context.incarnation();
        mDirectory = context.directory();
        mStore = context.store();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mElection = CoordinatorElection.create(identity(), mIncarnation, mClock.getAsLong());
        mHoldReports = new HoldReports(mSettings.peerAddress());
        mStore.epoch().addListener(this::onNewEpoch);
    }

    /**
     * Returns the name under which this daemon is elected. It includes the host, because a daemon
     * that is restarted at another address may run at the same time as the one that it replaces.
     */
    private String identity() {
        return mSettings.name() + "/" + mSettings.peerAddress().host();
    }

    /** Sets the publisher of the tables and grants of this daemon's later terms. */
    void setPublisher(RangeCoordinatorDriver.Publisher publisher) {
        mPublisher = publisher;
    }

    /** Sets how peers are asked which servers they reach. */
    void setPeerReach(PeerReach peerReach) {
        mPeerReach = peerReach;
    }

    /** Sets how former coordinators are asked for the holds that they granted. */
    void setHoldInquiry(HoldReports.Inquiry inquiry) {
        mHoldReports.setInquiry(inquiry);
    }

    /** Sets a listener that runs on each tick while this daemon is the coordinator. */
    void setActingListener(Runnable listener) {
        mActingListener = listener;
    }

    /** Sets what returns the requests per second that a limited incarnation takes. */
    void setServerLimits(Function<String, OptionalDouble> limits) {
        mServerLimits = limits;
    }

    void start() {
        mNextPollAt = now();
        tick();
    }

    /** Returns the record of the coordinator as last seen, or empty if there is none. */
    Optional<CoordinatorRecord> coordinator() {
        return mElection.record();
    }

    /** Returns the same, but empty too if the last coordinator resigned and has no successor. */
    Optional<CoordinatorRecord> presentCoordinator() {
        return coordinator().filter(c -> !c.isVacant());
    }

    /** Reports whether this daemon had authority at the last tick and has not resigned. */
    boolean isActing() {
        return mActing;
    }

    /** Returns when the present or last term of this daemon began. */
    long actingSinceNanos() {
        return mActingSinceNanos;
    }

    /** Passes the report of a daemon to the driver of the service, if it runs here. */
    void onReport(String service, KeyedRequestStats.Report report) {
        RangeCoordinatorDriver driver = mDrivers.get(service);
        if (driver != null) {
            driver.onReport(report);
        }
    }

    /**
     * Makes the grants of an incarnation due for renewal on the next tick, which shows whether it
     * still answers. Does nothing unless this daemon is the coordinator.
     */
    void renewGrants(String incarnationId) {
        mDrivers.values().forEach(d -> d.renewGrants(incarnationId));
    }

    /**
     * Returns the time, by which the election knows of all suspensions of the machine until then.
     */
    private long now() {
        long now = mClock.getAsLong();
        mElection.onResumed(mClock.resumedAtNanos());
        return now;
    }

    private void tick() {
        long now = now();
        if (mResigned) {
            return;
        }
        try {
            resignIfCutOff(now);
            callStoreIfDue(now);
            tickDrivers(now);
        } finally {
            mThread.schedule(
                    this::tick,
                    mActing ? ACTING_TICK_MILLIS : WATCHING_TICK_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void callStoreIfDue(long now) {
        if (mStoreCallInFlight) {
            return;
        }
        boolean needsRead = !mElection.isRecordRead() || !mElection.hasAuthority(now);
        if (mElection.shouldWrite(now) && now >= mNextWriteAt) {
            writeRecord(now);
        } else if (needsRead && now >= mNextPollAt) {
            readRecord(now);
        }
    }

    /**
     * Forgets the record after a restore of the store and reads it again at once: the authority of
     * a coordinator that may continue can end within a second. A call in flight is abandoned.
     */
    private void onNewEpoch() {
        mCallGeneration++;
        mStoreCallInFlight = false;
        if (mResigned) {
            return;
        }
        long now = now();
        mElection.onNewEpoch(mStore.epoch().current(), now);
        mNextPollAt = now;
        mNextWriteAt = now;
        if (mElection.mayContinue()) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Coordinator continues after a restore of the store",
                    "epoch",
                    mStore.epoch().current(),
                    "confirmed_ms_ago",
                    TimeUnit.NANOSECONDS.toMillis(now - mElection.confirmedAt()));
            mDrivers.values().forEach(RangeCoordinatorDriver::onNewEpoch);
        } else {
            endDrivers();
            mHoldReports.forgetOwn();
        }
        callStoreIfDue(now);
    }

    private void tickDrivers(long now) {
        boolean acting = mElection.hasAuthority(now);
        if (acting != mActing) {
            mActing = acting;
            mActingSinceNanos = acting ? now : mActingSinceNanos;
            if (acting && mDrivers.isEmpty()) {
                mHoldReports.forgetOwn();
            }
            mLog.write(
                    Part.OWNERSHIP,
                    acting ? "Became the coordinator" : "Is no longer the coordinator",
                    "coordinator",
                    mElection.record().map(CoordinatorRecord::daemon).orElse(""));
        }
        if (!acting) {
            mReach.onTermEnded();
            return;
        }
        if (mHoldReports.isPending(now)) {
            return;
        }
        mDirectory
                .configuration()
                .ifPresent(
                        c ->
                                c.services().values().stream()
                                        .filter(ServiceRule::keyed)
                                        .forEach(s -> driver(s.name())));
        restoreDrains(now);
        mActingListener.run();
        compareReachIfDue(now);
        List.copyOf(mDrivers.values()).forEach(d -> d.tick(mElection));
    }

    /** Asks peers which servers they reach if many fail, and holds back losses meanwhile. */
    private void compareReachIfDue(long now) {
        Set<String> servers = new HashSet<>();
        Set<String> failing = new HashSet<>();
        for (RangeCoordinatorDriver driver : mDrivers.values()) {
            servers.addAll(driver.servers());
            failing.addAll(driver.failingServers());
        }
        if (mReach.beginInquiryIfDue(servers.size(), failing, now)) {
            long inquiry = mReach.inquiry();
            mLog.write(
                    Part.OWNERSHIP,
                    "Many servers fail, asking peers which ones they reach",
                    "servers",
                    servers.size(),
                    "failing",
                    failing.size());
            mPeerReach.ask(
                    servers, failing, outcome -> onReachCompared(inquiry, servers.size(), outcome));
        }
        boolean heldBack = mReach.holdsBackLosses(now);
        mDrivers.values().forEach(d -> d.setLossesHeldBack(heldBack));
    }

    private void onReachCompared(long inquiry, int serverCount, PeerReach.Outcome outcome) {
        long now = now();
        mReach.onInquiryEnded(inquiry, outcome.reachedHere(), outcome.reachedByPeer(), now);
        mBestPeer = outcome.bestPeer();
        mLog.write(
                Part.OWNERSHIP,
                "Compared the reach of daemons",
                "servers",
                serverCount,
                "reached",
                outcome.reachedHere(),
                "reached_by_peer",
                outcome.reachedByPeer(),
                "peer",
                outcome.bestPeer().map(Address::toString).orElse(""),
                "resigning",
                mReach.shouldResign(now));
        if (!mResigned) {
            resignIfCutOff(now);
        }
    }

    /**
     * Resigns for a while if a peer reaches more servers. Waits for a call of the store in flight,
     * whose answer might be a renewal.
     */
    private void resignIfCutOff(long now) {
        if (mReach.shouldResign(now)
                && !mStoreCallInFlight
                && mElection.isOwn()
                && mElection.hasAuthority(now)
                && !mElection.isStoreUnavailable(now)) {
            mReach.onResigned(now);
            endDrivers();
            mElection.resign(now + CoordinatorReach.ABSTENTION_NANOS);
            tickDrivers(now);
            vacateRecordForPeer();
        }
    }

    private void vacateRecordForPeer() {
        mStoreCallInFlight = true;
        long generation = mCallGeneration;
        vacateRecord()
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () -> runIfCurrent(generation, () -> onVacated(result))));
    }

    private void onVacated(StoreResult result) {
        mStoreCallInFlight = false;
        long now = now();
        if (result instanceof StoreResult.Written written) {
            mElection.onRead(Optional.of(decode(written.object())), now);
            mBestPeer.ifPresent(mPeerReach::nominate);
        } else if (result instanceof StoreResult.Conflict conflict) {
            mElection.onConflict(decode(conflict.object()), now);
            if (mElection.isOwn() && !mResigned) {
                // A renewal whose answer was lost has changed the record.
                vacateRecordForPeer();
            }
        } else {
            // Nobody else may be able to take over either.
            mElection.resign(now);
        }
    }

    /** Reports whether this daemon could be elected if the record were vacant. */
    boolean canStand() {
        long now = now();
        return !mResigned
                && !mElection.isAbstaining(now)
                && mElection.isRecordRead()
                && now - mRecordReadAt <= MAX_RECORD_AGE_NANOS;
    }

    /** Reads the record at once, to stand for election if it is vacant. */
    void onNominated() {
        if (!mResigned && !mActing) {
            mNominated = true;
            long now = now();
            mNextPollAt = now;
            callStoreIfDue(now);
        }
    }

    /**
     * Writes the drains that a restore of the store lost again, and removes the ended ones that it
     * brought back. Repeated until the directory has seen the results.
     */
    private void restoreDrains(long now) {
        DrainHistory history = mDirectory.drainHistory();
        if (now < mNextDrainWriteAt || history.lost().isEmpty() && history.revived().isEmpty()) {
            return;
        }
        mNextDrainWriteAt = now + DRAIN_WRITE_INTERVAL_NANOS;
        for (Drain drain : history.lost()) {
            mStore.create(StoreKind.DRAINS, drain.name(), DrainCodec.encode(drain))
                    .thenAccept(result -> logDrain("Wrote a lost drain", drain.name(), result));
        }
        history.revived()
                .forEach(
                        (name, revision) ->
                                mStore.remove(StoreKind.DRAINS, name, revision)
                                        .thenAccept(
                                                result ->
                                                        logDrain(
                                                                "Removed an ended drain",
                                                                name,
                                                                result)));
    }

    private void logDrain(String event, String name, StoreResult result) {
        mLog.write(Part.STORE, event + " after a restore", "drain", name, "result", result);
    }

    /** Applies a change of the directory without waiting for the next tick. */
    void onDirectoryChange() {
        if (mActing) {
            tickDrivers(now());
        }
    }

    private boolean hasAuthority() {
        return !mResigned && mElection.hasAuthority(now());
    }

    private void endDrivers() {
        mHoldReports.forgetFormer();
        if (!mDrivers.isEmpty()) {
            mHoldReports.setOwn(reportsOfDrivers());
        }
        mDrivers.values().forEach(RangeCoordinatorDriver::end);
        mDrivers.clear();
    }

    private ImmutableMap<String, HoldReport> reportsOfDrivers() {
        ImmutableMap.Builder<String, HoldReport> reports = ImmutableMap.builder();
        mDrivers.forEach(
                (service, driver) -> driver.holdReport().ifPresent(r -> reports.put(service, r)));
        return reports.buildOrThrow();
    }

    /**
     * Returns the holds that this daemon knew at the end of its last term, by service, if it has no
     * authority now and {@code incarnation} names this run of it.
     */
    Optional<ImmutableMap<String, HoldReport>> holdReports(long incarnation) {
        if (incarnation != mIncarnation || hasAuthority()) {
            return Optional.empty();
        }
        return Optional.of(mDrivers.isEmpty() ? mHoldReports.own() : reportsOfDrivers());
    }

    private RangeCoordinatorDriver driver(String service) {
        return mDrivers.computeIfAbsent(service, this::createDriver);
    }

    private RangeCoordinatorDriver createDriver(String service) {
        RangeCoordinatorDriver driver =
                new RangeCoordinatorDriver(
                        service,
                        mPublisher,
                        this::hasAuthority,
                        mHoldReports.former(service),
                        mContext);
        driver.setServerLimits(mServerLimits);
        return driver;
    }

    private void readRecord(long now) {
        mStoreCallInFlight = true;
        mNextPollAt = now + (mElection.mayContinue() ? RETRY_INTERVAL_NANOS : POLL_INTERVAL_NANOS);
        long generation = mCallGeneration;
        boolean nominated = mNominated;
        mNominated = false;
        // A stale read would show the record of the daemon that has resigned, for seconds.
        mStore.listAll(StoreKind.COORDINATORS, mElection.record().isPresent() && !nominated)
                .thenAccept(
                        result ->
                                mThread.execute(
                                        () ->
                                                runIfCurrent(
                                                        generation,
                                                        () -> onRecordRead(result, nominated))));
    }

    private void runIfCurrent(long generation, Runnable task) {
        if (generation == mCallGeneration) {
            task.run();
        }
    }

    private void onRecordRead(StoreResult result, boolean nominated) {
        mStoreCallInFlight = false;
        if (result instanceof StoreResult.Page page) {
            if (!mElection.isRecordRead()) {
                setInitialEpoch();
            }
            mElection.onRead(
                    page.objects().stream()
                            .filter(o -> o.name().equals(RECORD_NAME))
                            .findFirst()
                            .map(CoordinatorService::decode),
                    now());
            mRecordReadAt = now();
            discardDriversUnlessOwn();
            // A nomination may also have come since the read was sent, which then shows nothing.
            if (mElection.mayContinue() || nominated || mNominated) {
                callStoreIfDue(now());
            }
        }
    }

    private void setInitialEpoch() {
        StoreEpoch epoch = mStore.epoch();
        if (!epoch.mayBeRestored()) {
            mElection.setInitialEpoch(epoch.current());
        } else if (!epoch.hasRisen()) {
            // The restore was before the start of this daemon.
            mElection.onNewEpoch(epoch.current(), now());
        }
    }

    private void writeRecord(long now) {
        mStoreCallInFlight = true;
        mNextWriteAt = now + RETRY_INTERVAL_NANOS;
        ObjectNode spec = encode(identity(), mStore.epoch().current());
        Optional<CoordinatorRecord> known = mElection.record();
        boolean newTerm = !mElection.isOwn() && !mElection.mayContinue();
        long generation = mCallGeneration;
        CompletableFuture<StoreResult> call =
                known.isEmpty()
                        ? mStore.create(StoreKind.COORDINATORS, RECORD_NAME, spec)
                        : mStore.replace(
                                StoreKind.COORDINATORS,
                                RECORD_NAME,
                                spec,
                                known.get().version().revision());
        call.thenAccept(
                result ->
                        mThread.execute(
                                () ->
                                        runIfCurrent(
                                                generation,
                                                () ->
                                                        onRecordWritten(
                                                                result, now, newTerm, known))));
    }

    private ObjectNode encode(String daemon, long epoch) {
        ObjectNode spec = JsonNodeFactory.instance.objectNode();
        spec.put("daemon", daemon);
        spec.put("incarnation", mIncarnation);
        spec.put(EPOCH, epoch);
        spec.put("peer", mSettings.peerAddress().toString());
        // The store does not raise the revision for a write without a change.
        spec.put("renewed_at", mClock.getAsLong());
        return spec;
    }

    /**
     * Processes the result of a write of the record.
     *
     * @param former the record that was replaced
     */
    private void onRecordWritten(
            StoreResult result, long sentAt, boolean newTerm, Optional<CoordinatorRecord> former) {
        mStoreCallInFlight = false;
        long now = now();
        if (result instanceof StoreResult.Written written) {
            if (newTerm) {
                endDrivers();
                // Others may have coordinated after the one in a record from before a restore.
                mHoldReports.beginTerm(
                        former.filter(r -> r.version().epoch() == mStore.epoch().current()),
                        now,
                        this::onDirectoryChange);
            }
            mElection.onWritten(decode(written.object()), sentAt, now);
            if (mResigned) {
                vacateRecord();
            } else {
                tickDrivers(now);
            }
        } else if (result instanceof StoreResult.Conflict conflict) {
            mElection.onConflict(decode(conflict.object()), now);
            mLog.write(
                    Part.OWNERSHIP,
                    "Coordinator record was written by another daemon or is of another epoch",
                    "coordinator",
                    mElection.record().map(CoordinatorRecord::daemon).orElse(""),
                    "version",
                    mElection.record().map(r -> r.version().toString()).orElse(""));
            discardDriversUnlessOwn();
        } else {
            mLog.write(
                    Part.OWNERSHIP, "Coordinator record write was not confirmed", "result", result);
        }
    }

    /** Discards the state of a term that has ended because another daemon was elected. */
    private void discardDriversUnlessOwn() {
        if (!mElection.isOwn() && !mElection.mayContinue()) {
            endDrivers();
        }
    }

    private static CoordinatorRecord decode(StoreObject object) {
        return new CoordinatorRecord(
                object.spec().path("daemon").asText(),
                object.spec().path("incarnation").asLong(),
                object.spec().path("peer").asText(),
                new StoreVersion(object.spec().path(EPOCH).asLong(), object.revision()));
    }

    /**
     * Stops coordinating for good and vacates the record, so that another daemon can take over at
     * once. If a write of the record is in flight, the record is vacated after its answer, which
     * contains the revision to replace.
     */
    void resign() {
        boolean hadAuthority = mElection.hasAuthority(now());
        mResigned = true;
        mActing = false;
        endDrivers();
        if (hadAuthority && !mStoreCallInFlight && mElection.record().isPresent()) {
            vacateRecord();
        }
    }

    private CompletableFuture<StoreResult> vacateRecord() {
        mLog.write(Part.OWNERSHIP, "Resigning as the coordinator");
        // Only a record of the epoch in which the term was confirmed lets others skip the wait.
        StoreVersion confirmed = mElection.record().orElseThrow().version();
        CompletableFuture<StoreResult> call =
                mStore.replace(
                        StoreKind.COORDINATORS,
                        RECORD_NAME,
                        encode("", confirmed.epoch()),
                        confirmed.revision());
        call.thenAccept(
                result ->
                        mLog.write(
                                Part.OWNERSHIP,
                                "Resignation write completed",
                                "result",
                                result.getClass().getSimpleName()));
        return call;
    }
}

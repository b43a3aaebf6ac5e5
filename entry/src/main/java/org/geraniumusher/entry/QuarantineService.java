package org.geraniumusher.entry;

import com.google.common.collect.ImmutableMap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.quarantine.CrashLedger;
import org.geraniumusher.quarantine.CrashSuspect;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;
import org.geraniumusher.quarantine.TrialLedger;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/**
 * The coordinator's side of quarantines: collects the evidence of all daemons in a {@link
 * CrashLedger} and writes its decisions to the store, from which all daemons read them. Confined to
 * the event loop.
 *
 * <p>Invariant: writes are conditional on the revision that the decision was made from. A write
 * that is refused, lost or too late changes nothing, and the decision is made again.
 */
final class QuarantineService {
    /** Interval of decisions while there are no reports. */
    private static final long DECISION_INTERVAL_NANOS = 250_000_000L;

    /**
     * Time after a write within which the same quarantine is not written again, unless the
     * directory has seen its result.
     */
    private static final long WRITE_INTERVAL_NANOS = 500_000_000L;

    /** Limit of writes whose results are not seen, because all daemons share the store's rate. */
    private static final int MAX_WRITES_IN_PROGRESS = 16;

    private final Directory mDirectory;
    private final Store mStore;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final LongSupplier mWallMillis;
    private final DecisionLog mLog;
    private final CoordinatorService mCoordinator;
    private final CrashLedger mLedger = CrashLedger.create();
    private final TrialLedger mTrials = TrialLedger.create();

    /** Writes whose results the directory may not show yet, by quarantine. */
    private final Map<RequestFingerprint, Write> mWrites = new HashMap<>();

    private ImmutableMap<RequestFingerprint, Quarantine> mLastStored = ImmutableMap.of();
    private long mNextDecisionAt;
    private long mLoggedDrops;

    /**
     * What a daemon reports of a crash.
     *
     * @param suspects requests that were in progress
     * @param ageMillis time since the daemon detected the crash
     */
    record CrashReport(Collection<CrashSuspect> suspects, long ageMillis) {}

    /**
     * A write of a quarantine.
     *
     * @param revision revision of the object that the write replaces, or -1 if there was none
     */
    private record Write(long at, long revision) {}

    /**
     * Creates the service.
     *
     * @param wallMillis wall clock in milliseconds since 1970
     */
    QuarantineService(
            DaemonContext context, LongSupplier wallMillis, CoordinatorService coordinator) {
        mDirectory = context.directory();
        mStore = context.store();
        mThread = context.thread();
        mClock = context.clock();
        mLog = context.log();
        mWallMillis = wallMillis;
        mCoordinator = coordinator;
        mStore.epoch().addListener(mLedger::onStoreRestored);
    }

    /**
     * Records what a daemon reports.
     *
     * @param crashes each crash, by incarnation
     * @param completed requests that were executed to their end
     */
    void onReport(Map<String, CrashReport> crashes, Collection<RequestFingerprint> completed) {
        long nowMillis = mWallMillis.getAsLong();
        completed.forEach(mLedger::onCompleted);
        crashes.forEach(
                (id, crash) -> mLedger.onCrash(id, crash.suspects(), crash.ageMillis(), nowMillis));
        if (mLedger.droppedRequests() > mLoggedDrops) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Evidence of crashes is dropped, there is too much",
                    "requests",
                    mLedger.droppedRequests() - mLoggedDrops);
            mLoggedDrops = mLedger.droppedRequests();
        }
        decide();
    }

    /**
     * Permits a trial of a request on probation if none is in progress anywhere.
     *
     * @return 0 if it is permitted, the time in nanoseconds until the next one may begin, or empty
     *     if this daemon is not the coordinator
     */
    OptionalLong tryBeginTrial(RequestFingerprint fingerprint) {
        return mCoordinator.isActing()
                ? OptionalLong.of(mTrials.tryBegin(fingerprint, mClock.getAsLong()))
                : OptionalLong.empty();
    }

    /** Decides again if it is time to or the stored quarantines have changed. */
    void tick() {
        boolean changed = mDirectory.quarantines() != mLastStored;
        if (changed || mClock.getAsLong() >= mNextDecisionAt) {
            decide();
        }
    }

    private void decide() {
        if (!mCoordinator.isActing() || !mDirectory.isComplete()) {
            return;
        }
        long now = mClock.getAsLong();
        mNextDecisionAt = now + DECISION_INTERVAL_NANOS;
        mLastStored = mDirectory.quarantines();
        mWrites.entrySet()
                .removeIf(
                        e ->
                                now - e.getValue().at() >= WRITE_INTERVAL_NANOS
                                        || revision(e.getKey()) != e.getValue().revision());
        for (CrashLedger.Change change : mLedger.decide(mLastStored, mWallMillis.getAsLong())) {
            if (mWrites.size() >= MAX_WRITES_IN_PROGRESS) {
                return;
            }
            Write write = new Write(now, revision(change.fingerprint()));
            if (mWrites.putIfAbsent(change.fingerprint(), write) == null) {
                write(change);
            }
        }
    }

    /** Returns the revision of a stored quarantine, or -1 if there is none. */
    private long revision(RequestFingerprint fingerprint) {
        return stored(fingerprint).map(StoreObject::revision).orElse(-1L);
    }

    private Optional<StoreObject> stored(RequestFingerprint fingerprint) {
        return Optional.ofNullable(
                mDirectory.mirror(StoreKind.QUARANTINES).objects().get(fingerprint.hex()));
    }

    private void write(CrashLedger.Change change) {
        String name = change.fingerprint().hex();
        Optional<StoreObject> stored = stored(change.fingerprint());
        CompletableFuture<StoreResult> call;
        if (change.next().isEmpty()) {
            call = mStore.remove(StoreKind.QUARANTINES, name, stored.orElseThrow().revision());
        } else {
            call =
                    stored.isEmpty()
                            ? mStore.create(
                                    StoreKind.QUARANTINES,
                                    name,
                                    QuarantineCodec.encode(change.next().get()))
                            : mStore.replace(
                                    StoreKind.QUARANTINES,
                                    name,
                                    QuarantineCodec.encode(change.next().get()),
                                    stored.get().revision());
        }
        call.thenAccept(result -> mThread.execute(() -> log(change, result)));
    }

    private void log(CrashLedger.Change change, StoreResult result) {
        Optional<Quarantine> next = change.next();
        mLog.write(
                Part.OWNERSHIP,
                next.isPresent() ? "Request is quarantined" : "Quarantine of a request ended",
                "request",
                change.fingerprint(),
                "state",
                next.map(q -> q.state().name()).orElse(""),
                "reason",
                change.reason(),
                "service",
                next.map(Quarantine::service).orElse(""),
                "target",
                next.map(Quarantine::target).orElse(""),
                "crashed_servers",
                next.map(q -> q.incarnations().toString()).orElse(""),
                "duration_ms",
                next.map(Quarantine::durationMillis).orElse(0L),
                "result",
                result instanceof StoreResult.Refused || result instanceof StoreResult.NoAnswer
                        ? result
                        : result.getClass().getSimpleName());
    }
}

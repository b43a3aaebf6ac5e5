package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Ascii;
import com.google.common.collect.EnumMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Multiset;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.entry.GuardedWatch.Reason;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.StoreVersion;
import org.geraniumusher.operator.Leaving;
import org.geraniumusher.quarantine.Quarantine;
import org.geraniumusher.quarantine.RequestFingerprint;
import org.geraniumusher.traffic.Drain;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServerEntry;
import org.geraniumusher.traffic.ServiceRule;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Holds the decoded state of the store as this daemon knows it: the configuration, the backend
 * servers, what is out of service, and the tables of key ranges. Confined to the event loop.
 *
 * <p>Invariants: an object that cannot be decoded affects no other. The last usable configuration
 * stays in force, and the entry of a server or a drain is left out. A restore of the store brings
 * back no older configuration, and no incarnation of a server that was leaving.
 */
final class Directory {
    /**
     * Time after a restore for which lost drains stay in force. Covers an election, after which the
     * coordinator writes them again.
     */
    private static final long LOST_DRAIN_NANOS = 15_000_000_000L;

    /**
     * Age from which the copy of any kind is compared with those of peers, once one is in doubt.
     */
    private static final long PROMPT_NANOS = GuardedWatch.Timing.PROMPT.maxAgeNanos();

    /** Time within which a change of the configuration must be in force. */
    private static final long CONFIGURATION_BOUND_NANOS = 2_000_000_000L;

    /** Longest part of an entry in a log line; enough to see what is wrong with it. */
    private static final int MAX_LOGGED_CHARS = 400;

    /** Pause between the tries of a kind while the store answers or that kind probes it. */
    private static final long RETRY_MILLIS = 400;

    /** The same for the other kinds, because each call to the store has a cost. */
    private static final long OUTAGE_RETRY_MILLIS = 3_000;

    private final WireFormat mWire;
    private final StoreEpoch mEpoch;
    private final EventThread mThread;
    private final RangeTableCache mTables;
    private final DecisionLog mLog;
    private final LongSupplier mClock;
    private final Map<StoreKind, KindMirror> mMirrors = new EnumMap<>(StoreKind.class);
    private final Listeners mListeners;
    private final Map<String, DecodedServer> mDecodedServers = new HashMap<>();
    private Optional<RouterConfig> mConfiguration = Optional.empty();
    private StoreVersion mDecodedConfiguration = StoreVersion.NONE;
    private ImmutableMap<String, ServerEntry> mServers = ImmutableMap.of();
    private ImmutableSet<String> mEvacuatedDataCentres = ImmutableSet.of();
    private ImmutableList<Drain> mDrains = ImmutableList.of();
    private ImmutableMap<RequestFingerprint, Quarantine> mQuarantines = ImmutableMap.of();
    private OptionalLong mRestoredAtNanos = OptionalLong.empty();

    /**
     * Evacuations that were in force before a restore and that the store has not shown since. Empty
     * once their writers have had time to write them again.
     */
    private final Set<String> mEvacuationsBeforeRestore = new HashSet<>();

    private final DrainHistory mDrainHistory = new DrainHistory();

    private final Multiset<Reason> mWatchesGivenUp = EnumMultiset.create(Reason.class);

    private Consumer<StoreKind> mConfirmationListener = kind -> {};
    private Runnable mDoubtListener = () -> {};

    private final LeavingIncarnations mLeaving =
            new LeavingIncarnations(incarnationId -> mServers.containsKey(incarnationId));

    /**
     * Caches whether servers are evacuated or drained, by incarnation ID. Cleared when servers,
     * evacuations or drains change.
     */
    private final Map<String, Boolean> mOutOfService = new HashMap<>();

    /** The result of decoding an entry of a server; empty if it was not usable. */
    private record DecodedServer(StoreVersion version, Optional<ServerEntry> entry) {}

    Directory(
            Store store, WireFormat wire, EventThread thread, LongSupplier clock, DecisionLog log) {
        mWire = wire;
        mEpoch = store.epoch();
        mThread = thread;
        mLog = log;
        mListeners = new Listeners(log);
        mClock = clock;
        addMirror(
                StoreKind.CONFIGURATION,
                GuardedWatch.Timing.PROMPT,
                store,
                this::decodeConfiguration);
        addMirror(
                StoreKind.EVACUATIONS, GuardedWatch.Timing.RELAXED, store, this::decodeEvacuations);
        addMirror(StoreKind.DRAINS, GuardedWatch.Timing.RELAXED, store, this::decodeDrains);
        addMirror(
                StoreKind.QUARANTINES, GuardedWatch.Timing.RELAXED, store, this::decodeQuarantines);
        addMirror(StoreKind.SERVERS, GuardedWatch.Timing.PROMPT, store, this::decodeServers);
        mTables = new RangeTableCache(store, thread, clock, log, mListeners::run);
        mEpoch.addListener(this::onNewEpoch);
    }

    private void addMirror(
            StoreKind kind, GuardedWatch.Timing timing, Store store, Runnable decode) {
        MirrorListener listener = new MirrorListener(kind, decode);
        mMirrors.put(kind, new KindMirror(kind, timing, store, mThread, mClock, mLog, listener));
    }

    /** Passes on what a mirror tells; confined to the event loop. */
    private final class MirrorListener implements KindMirror.Listener {
        private final StoreKind mKind;
        private final Runnable mDecode;

        MirrorListener(StoreKind kind, Runnable decode) {
            mKind = kind;
            mDecode = decode;
        }

        @Override
        public void onChange() {
            mDecode.run();
            mListeners.run();
        }

        @Override
        public void onHistoryGone() {
            listAll();
        }

        @Override
        public void onReachable() {
            mMirrors.values().forEach(KindMirror::retryNow);
            if (mKind == StoreKind.SERVERS) {
                runListenersAfterReregistration();
            }
        }

        @Override
        public void onConfirmed() {
            mConfirmationListener.accept(mKind);
        }

        @Override
        public void onGivenUp(Reason reason) {
            mWatchesGivenUp.add(reason);
            mDoubtListener.run();
        }

        @Override
        public void onTimedOut(long sentNanos) {
            onCallTimedOut(sentNanos);
        }

        /** One kind tries often whether the store answers again; the others follow it. */
        @Override
        public long retryMillis() {
            boolean serversRelayed = mMirrors.get(StoreKind.SERVERS).watch().isRelayed();
            StoreKind probe = serversRelayed ? StoreKind.CONFIGURATION : StoreKind.SERVERS;
            boolean triesOften = mKind == probe || mMirrors.get(probe).isReachable();
            return triesOften ? RETRY_MILLIS : OUTAGE_RETRY_MILLIS;
        }
    }

    /**
     * Has the watches checked that a call without an answer puts in doubt.
     *
     * @param sentNanos clock time in ns at which the call was sent
     */
    void onCallTimedOut(long sentNanos) {
        mMirrors.values().forEach(m -> m.watch().onCallTimedOut(sentNanos));
    }

    /** Sets from where this daemon reads the entries of servers. */
    void setServerSource(GuardedWatch.Source source) {
        mMirrors.get(StoreKind.SERVERS).watch().setSource(source);
    }

    /** Sets a listener that is told when the copy of a kind is known to be current. */
    void setConfirmationListener(Consumer<StoreKind> listener) {
        mConfirmationListener = checkNotNull(listener);
    }

    /** Sets a listener that is told when a watch no longer shows that its copy is current. */
    void setDoubtListener(Runnable listener) {
        mDoubtListener = checkNotNull(listener);
    }

    /**
     * Returns the kinds of which newer copies of peers are wanted: none while no copy is in doubt,
     * and else also those that were not known to be current lately.
     */
    ImmutableList<KindMirror> mirrorsToCopy() {
        return mMirrors.values().stream().anyMatch(KindMirror::isInDoubt)
                ? mMirrors.values().stream()
                        .filter(m -> m.isInDoubt() || !m.isCurrentWithin(PROMPT_NANOS))
                        .collect(ImmutableList.toImmutableList())
                : ImmutableList.of();
    }

    /** Returns how many watches were given up for a reason. */
    int watchesGivenUp(Reason reason) {
        return mWatchesGivenUp.count(reason);
    }

    /** Has missing servers looked at again when they can no longer be about to register. */
    private void runListenersAfterReregistration() {
        mThread.schedule(mListeners::run, KindMirror.SETTLING_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Starts to read the store. */
    void start() {
        listAll();
        mTables.start();
    }

    private void onNewEpoch() {
        mRestoredAtNanos = OptionalLong.of(mClock.getAsLong());
        mEvacuationsBeforeRestore.addAll(mEvacuatedDataCentres);
        mMirrors.values().forEach(KindMirror::onNewEpoch);
        mThread.schedule(this::endLostEvacuations, KindMirror.SETTLING_NANOS, TimeUnit.NANOSECONDS);
        mThread.schedule(this::endLostDrains, LOST_DRAIN_NANOS, TimeUnit.NANOSECONDS);
        runListenersAfterReregistration();
    }

    /** Ends the evacuations that a restore lost, unless it was followed by another restore. */
    private void endLostEvacuations() {
        if (isWithinRestore(KindMirror.SETTLING_NANOS) || mEvacuationsBeforeRestore.isEmpty()) {
            return;
        }
        mLog.write(
                Part.STORE,
                "Evacuations lost in the restore were not written again",
                "data_centres",
                mEvacuationsBeforeRestore);
        mEvacuationsBeforeRestore.clear();
        decodeEvacuations();
        mListeners.run();
    }

    /** Ends the drains that a restore lost, unless it was followed by another restore. */
    private void endLostDrains() {
        if (isWithinRestore(LOST_DRAIN_NANOS) || mDrainHistory.lost().isEmpty()) {
            return;
        }
        mLog.write(
                Part.STORE,
                "Drains lost in the restore were not written again",
                "drains",
                mDrainHistory.lost());
        mDrainHistory.forgetLost();
        decodeDrains();
        mListeners.run();
    }

    /** Returns whether entries of servers may still be those of the backup that was restored. */
    boolean isSoonAfterRestore() {
        return isWithinRestore(KindMirror.SETTLING_NANOS);
    }

    private boolean isWithinRestore(long nanos) {
        return mRestoredAtNanos.isPresent()
                && mClock.getAsLong() - mRestoredAtNanos.getAsLong() < nanos;
    }

    /** Returns whether the copy of a kind was read from the store after its last restore. */
    private boolean isCurrent(StoreKind kind) {
        return mMirrors.get(kind).version().epoch() == mEpoch.current();
    }

    /** Lists all mirrored kinds, at the start and after the store dropped its history. */
    private void listAll() {
        mMirrors.values().forEach(KindMirror::start);
    }

    RangeTableCache tables() {
        return mTables;
    }

    /** Adds a listener that runs on the event loop after each change. */
    void addListener(Runnable listener) {
        mListeners.add(listener);
    }

    /** Returns the mirror of a kind, or null if the kind is not mirrored. */
    KindMirror mirror(StoreKind kind) {
        return mMirrors.get(kind);
    }

    Iterable<KindMirror> mirrors() {
        return mMirrors.values();
    }

    /**
     * Returns the time in ms since the copy of a kind was last known to be current, or -1 if it
     * never was.
     */
    long copyAgeMillis(StoreKind kind) {
        OptionalLong ageNanos = mMirrors.get(kind).copyAgeNanos(mClock.getAsLong());
        return ageNanos.isPresent() ? TimeUnit.NANOSECONDS.toMillis(ageNanos.getAsLong()) : -1;
    }

    /** Returns whether all state that is needed to route requests was read. */
    boolean isComplete() {
        return mConfiguration.isPresent()
                && mTables.isLoaded()
                && mMirrors.values().stream().allMatch(KindMirror::hasState);
    }

    /** Returns the configuration in force, if any. */
    Optional<RouterConfig> configuration() {
        return mConfiguration;
    }

    /**
     * Returns whether a newer configuration may be in force elsewhere: a peer has one, or the copy
     * has not been known to be current for longer than a change may take.
     */
    boolean mayConfigurationBeOutdated() {
        KindMirror mirror = mMirrors.get(StoreKind.CONFIGURATION);
        return mirror.isBehindPeer() || !mirror.isCurrentWithin(CONFIGURATION_BOUND_NANOS);
    }

    /** Returns whether the configuration in force names a service. */
    boolean isServiceConfigured(String service) {
        return mConfiguration.map(c -> c.services().containsKey(service)).orElse(false);
    }

    /** Returns the usable entries of servers by incarnation ID. */
    ImmutableMap<String, ServerEntry> servers() {
        return mServers;
    }

    /**
     * Records that a server said in an answer that it is leaving, whatever its entry says. Must not
     * be called by a listener.
     */
    void markLeaving(String incarnationId) {
        markLeaving(incarnationId, Leaving.SAID);
    }

    /**
     * Records the report of another daemon that a server said that it is leaving. Returns false,
     * and does nothing, if this incarnation is not listed. Must not be called by a listener.
     */
    boolean onReportedLeaving(String incarnationId) {
        boolean listed = mServers.containsKey(incarnationId);
        if (listed) {
            markLeaving(incarnationId, Leaving.SAID_ELSEWHERE);
        }
        return listed;
    }

    private void markLeaving(String incarnationId, Leaving cause) {
        if (mLeaving.add(incarnationId, cause)) {
            decodeServers();
            mListeners.run();
        }
    }

    /** Returns the listed servers of keyed services that said that they are leaving. */
    ImmutableList<String> saidLeaving() {
        return mLeaving.byOwnWord()
                .filter(id -> mServers.containsKey(id) && isKeyed(mServers.get(id)))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean isKeyed(ServerEntry server) {
        return mConfiguration
                .map(c -> c.services().get(server.service()))
                .map(ServiceRule::keyed)
                .orElse(false);
    }

    /** Returns whether an incarnation, listed or not, is remembered as leaving. */
    boolean isLeaving(String incarnationId) {
        return mLeaving.contains(incarnationId);
    }

    /** Returns from what this daemon knew first that an incarnation is leaving. */
    Leaving leaving(String incarnationId) {
        return mLeaving.cause(incarnationId).orElse(Leaving.ENTRY);
    }

    /** Returns the number of entries of servers that are listed and not usable. */
    int unusableServers() {
        return (int) mDecodedServers.values().stream().filter(d -> d.entry().isEmpty()).count();
    }

    /** Returns whether operators took a server out of service, by a drain or an evacuation. */
    boolean isOutOfService(ServerEntry server) {
        return mOutOfService.computeIfAbsent(
                server.incarnationId(),
                incarnationId ->
                        mEvacuatedDataCentres.contains(server.dataCentre()) || isDrained(server));
    }

    ImmutableList<Drain> drains() {
        return mDrains;
    }

    Optional<RangeTable> table(String service) {
        return mTables.table(service);
    }

    private void decodeConfiguration() {
        KindMirror mirror = mMirrors.get(StoreKind.CONFIGURATION);
        for (StoreObject object : mirror.objects().values()) {
            StoreVersion decoded = new StoreVersion(mirror.version().epoch(), object.revision());
            if (decoded.equals(mDecodedConfiguration)) {
                continue;
            }
            mDecodedConfiguration = decoded;
            try {
                applyConfiguration(mWire.decodeConfiguration(object.spec()), decoded);
            } catch (RuntimeException e) {
                mLog.write(
                        Part.STORE,
                        "Configuration cannot be used, the previous one stays in force",
                        "revision",
                        object.revision(),
                        "reason",
                        e);
            }
        }
    }

    /** Puts a configuration in force unless it is older than the one in force. */
    private void applyConfiguration(RouterConfig next, StoreVersion decoded) {
        long current = mConfiguration.map(RouterConfig::version).orElse(Long.MIN_VALUE);
        boolean isOlder = next.version() < current;
        if (!isOlder) {
            mConfiguration = Optional.of(next);
        }
        mLog.write(
                Part.STORE,
                isOlder
                        ? "Configuration is older than the one in force and is ignored"
                        : "Configuration is in force",
                "version",
                next.version(),
                "previous_version",
                current,
                "epoch",
                decoded.epoch(),
                "revision",
                decoded.revision());
    }

    private void decodeEvacuations() {
        Set<String> listed = mMirrors.get(StoreKind.EVACUATIONS).objects().keySet();
        if (isCurrent(StoreKind.EVACUATIONS)) {
            mEvacuationsBeforeRestore.removeAll(listed);
        }
        ImmutableSet<String> next =
                ImmutableSet.<String>builder()
                        .addAll(listed)
                        .addAll(mEvacuationsBeforeRestore)
                        .build();
        if (!next.equals(mEvacuatedDataCentres)) {
            mLog.write(Part.STORE, "Evacuated data centres changed", "data_centres", next);
            mEvacuatedDataCentres = next;
            mOutOfService.clear();
        }
    }

    private void decodeDrains() {
        KindMirror mirror = mMirrors.get(StoreKind.DRAINS);
        Map<String, Drain> listed = new LinkedHashMap<>();
        Map<String, Long> revisions = new HashMap<>();
        for (StoreObject object : mirror.objects().values()) {
            try {
                listed.put(object.name(), DrainCodec.decode(object));
                revisions.put(object.name(), object.revision());
            } catch (RuntimeException e) {
                mLog.write(Part.STORE, "Drain cannot be used", "drain", object.name(), "reason", e);
            }
        }
        mDrains = mDrainHistory.onListed(mirror.version().epoch(), listed, revisions);
        mLog.write(
                Part.STORE,
                "Drains are in force",
                "drains",
                mDrains,
                "lost_in_restore",
                mDrainHistory.lost().size(),
                "ended_before_restore",
                mDrainHistory.revived().keySet());
        mOutOfService.clear();
    }

    private void decodeQuarantines() {
        ImmutableMap.Builder<RequestFingerprint, Quarantine> next = ImmutableMap.builder();
        for (StoreObject object : mMirrors.get(StoreKind.QUARANTINES).objects().values()) {
            try {
                Quarantine quarantine = QuarantineCodec.decode(object);
                next.put(quarantine.fingerprint(), quarantine);
            } catch (RuntimeException e) {
                mLog.write(
                        Part.STORE,
                        "Quarantine cannot be used",
                        "request",
                        object.name(),
                        "reason",
                        e);
            }
        }
        setQuarantines(next.buildOrThrow());
    }

    private void setQuarantines(ImmutableMap<RequestFingerprint, Quarantine> next) {
        if (!next.equals(mQuarantines)) {
            mQuarantines = next;
            mLog.write(
                    Part.STORE,
                    "Quarantines are in force",
                    "rejected",
                    fingerprints(Quarantine.State.REJECTED),
                    "probation",
                    fingerprints(Quarantine.State.PROBATION));
        }
    }

    private List<RequestFingerprint> fingerprints(Quarantine.State state) {
        return mQuarantines.values().stream()
                .filter(q -> q.state() == state)
                .map(Quarantine::fingerprint)
                .toList();
    }

    /** Returns the quarantined requests as last read from the store. */
    ImmutableMap<RequestFingerprint, Quarantine> quarantines() {
        return mQuarantines;
    }

    /** Returns the revision of the object of a quarantined request. */
    long quarantineRevision(RequestFingerprint request) {
        return mMirrors.get(StoreKind.QUARANTINES).objects().get(request.hex()).revision();
    }

    /** Returns what a restore of the store took back of the drains. */
    DrainHistory drainHistory() {
        return mDrainHistory;
    }

    private boolean isDrained(ServerEntry server) {
        return mDrains.stream().anyMatch(drain -> drain.matches(server));
    }

    private void decodeServers() {
        ImmutableMap.Builder<String, ServerEntry> next = ImmutableMap.builder();
        ImmutableMap<String, StoreObject> objects = mMirrors.get(StoreKind.SERVERS).objects();
        long epoch = mMirrors.get(StoreKind.SERVERS).version().epoch();
        mDecodedServers.keySet().retainAll(objects.keySet());
        for (StoreObject object : objects.values()) {
            DecodedServer decoded = mDecodedServers.get(object.name());
            StoreVersion version = new StoreVersion(epoch, object.revision());
            if (decoded == null || !decoded.version().equals(version)) {
                decoded = new DecodedServer(version, decodeServer(object));
                mDecodedServers.put(object.name(), decoded);
            }
            decoded.entry().ifPresent(e -> next.put(e.incarnationId(), keepLeaving(e)));
        }
        mServers = next.buildKeepingLast();
        mOutOfService.clear();
    }

    /**
     * Returns the entry, marked as leaving if an earlier entry of its incarnation was. A server
     * that leaves does not return to service, but a restore of the store can bring back its old
     * entry.
     */
    private ServerEntry keepLeaving(ServerEntry entry) {
        if (entry.leaving()) {
            mLeaving.add(entry.incarnationId(), Leaving.ENTRY);
        }
        return mLeaving.contains(entry.incarnationId()) ? entry.asLeaving() : entry;
    }

    /** Decodes the entry of a server. Logs the reason and returns empty if it is not usable. */
    private Optional<ServerEntry> decodeServer(StoreObject object) {
        try {
            return Optional.of(mWire.decodeServerEntry(object));
        } catch (RuntimeException e) {
            mLog.write(
                    Part.SERVER,
                    "Entry of a server is not usable",
                    "server",
                    object.name(),
                    "revision",
                    object.revision(),
                    "reason",
                    e,
                    "entry",
                    Ascii.truncate(object.content().toString(), MAX_LOGGED_CHARS, "..."));
            return Optional.empty();
        }
    }

    /**
     * Returns whether servers whose entries are missing may still register again, because the
     * entries may have expired only while the store was unreachable, or were lost in a restore.
     */
    boolean mayMissingServersReregister(long nowNanos) {
        return isSoonAfterRestore() || !mMirrors.get(StoreKind.SERVERS).isSettled(nowNanos);
    }
}

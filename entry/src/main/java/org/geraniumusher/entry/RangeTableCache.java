package org.geraniumusher.entry;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.SetMultimap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.entry.StoreResult.Page;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.FormerHolders;
import org.geraniumusher.keyrange.NextOwner;
import org.geraniumusher.keyrange.NextOwnerTimes;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Holds the newest known key range table of each keyed service, and the grants that the tables do
 * not show yet.
 *
 * <p>The coordinator sends each change to all daemons. This class also polls the store, which
 * recovers changes that were missed; the polls are stale reads because these cost a tenth of a
 * watch. An outdated table at worst sends a request to a server that rejects it without executing
 * it.
 *
 * <p>Invariant: the version of a table never decreases, also when the store is restored. Confined
 * to the event loop.
 */
final class RangeTableCache {
    private static final long POLL_INTERVAL_MILLIS = 2_000;
    private static final long LOAD_RETRY_MILLIS = 300;

    private final Store mStore;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final Runnable mOnChange;
    private final Map<String, RangeTable> mTables = new TreeMap<>();
    private final Map<String, FormerHolders> mFormerHolders = new HashMap<>();

    /** Grants, by service, of ranges that the table still shows as moving. */
    private final SetMultimap<String, Grant> mGrants = HashMultimap.create();

    private final Map<String, NextOwnerTimes> mNextOwners = new HashMap<>();
    private boolean mLoaded;

    /** A grant of the range that starts at {@code firstKey} and is assigned with {@code fence}. */
    private record Grant(int firstKey, long fence) {}

    RangeTableCache(
            Store store,
            EventThread thread,
            LongSupplier clock,
            DecisionLog log,
            Runnable onChange) {
        mStore = store;
        mThread = thread;
        mClock = clock;
        mLog = log;
        mOnChange = onChange;
    }

    /** Starts to poll the store; must be called once. */
    void start() {
        // The first successful read must be complete and current; after that, stale reads suffice.
        mStore.listAll(StoreKind.RANGES, mLoaded)
                .thenAccept(result -> mThread.execute(() -> onListed(result)));
    }

    private void onListed(StoreResult result) {
        if (result instanceof Page page) {
            page.objects().forEach(this::updateFromStore);
            setLoaded();
        }
        mThread.schedule(
                this::start,
                mLoaded ? POLL_INTERVAL_MILLIS : LOAD_RETRY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Records that all tables of the store or of a peer have been read. */
    void setLoaded() {
        if (!mLoaded) {
            mLoaded = true;
            mOnChange.run();
        }
    }

    /** Reports whether all tables have been read once from the store or from a peer. */
    boolean isLoaded() {
        return mLoaded;
    }

    Optional<RangeTable> table(String service) {
        return Optional.ofNullable(mTables.get(service));
    }

    ImmutableMap<String, RangeTable> tables() {
        return ImmutableMap.copyOf(mTables);
    }

    private void updateFromStore(StoreObject object) {
        try {
            RangeTable table = RangeTableCodec.decode(object.revision(), object.spec());
            updateIfNewer(object.name(), table, false);
        } catch (IllegalArgumentException e) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Cannot decode a key range table",
                    "service",
                    object.name(),
                    "reason",
                    e.getMessage());
        }
    }

    /**
     * Replaces the table of a service unless the known one is as new, and updates the records of
     * former holders unless it is older.
     *
     * @param fromWriter whether the table came from the coordinator that wrote it
     */
    void updateIfNewer(String service, RangeTable table, boolean fromWriter) {
        RangeTable current = mTables.get(service);
        if (current != null && current.version().isAfter(table.version())) {
            return;
        }
        formerHolders(service).onTable(table, fromWriter, mClock.getAsLong());
        if (current == null || table.version().isAfter(current.version())) {
            mTables.put(service, table);
            mGrants.get(service).removeIf(g -> !isRelevant(g, table));
            mOnChange.run();
        }
    }

    /** Reports whether a grant is for a later table or for a move that the table shows. */
    private static boolean isRelevant(Grant grant, RangeTable table) {
        Assignment assignment = table.find(grant.firstKey());
        return grant.fence() > table.version().toFence()
                || assignment.fence() == grant.fence() && assignment.isMoving();
    }

    /** Returns what the tables show about incarnations that no longer own a range. */
    FormerHolders formerHolders(String service) {
        return mFormerHolders.computeIfAbsent(service, s -> FormerHolders.create());
    }

    /** Adds the grant of a range that the coordinator has not yet written into the table. */
    void addGrant(String service, int firstKey, long fence) {
        if (mGrants.put(service, new Grant(firstKey, fence))) {
            mOnChange.run();
        }
    }

    /** Replaces what the coordinator knows about the next owners of the ranges of a service. */
    void setNextOwners(String service, List<NextOwner> nextOwners) {
        mNextOwners
                .computeIfAbsent(service, s -> NextOwnerTimes.create())
                .replace(nextOwners, mClock.getAsLong());
    }

    /**
     * Returns the time before which a key that has no owner has no next one, or {@code nowNanos} if
     * it is not known.
     */
    long nextOwnerNotBefore(String service, int key, long nowNanos) {
        RangeTable table = mTables.get(service);
        NextOwnerTimes times = mNextOwners.get(service);
        if (table == null || times == null) {
            return nowNanos;
        }
        Assignment assignment = table.find(key);
        boolean isGranted = assignment.isMoving() && mayServe(service, assignment);
        return isGranted ? nowNanos : times.notBefore(assignment, nowNanos).orElse(nowNanos);
    }

    /** Reports whether the owner of an assignment is known to be granted its range. */
    boolean mayServe(String service, Assignment assignment) {
        return !assignment.isMoving()
                || mGrants.containsEntry(
                        service, new Grant(assignment.range().first(), assignment.fence()));
    }

    /**
     * Applies the assignments that changed between the versions {@code base} and {@code version},
     * which are all if the base is {@link StoreVersion#NONE}. Returns false if the known table is
     * older than {@code version} but not at {@code base}, so that the whole table is needed.
     */
    boolean applyChanges(
            String service, StoreVersion base, StoreVersion version, List<Assignment> changes) {
        RangeTable current = mTables.get(service);
        if (current != null && !version.isAfter(current.version())) {
            return true;
        }
        if (base.equals(StoreVersion.NONE)) {
            updateIfNewer(service, RangeTable.of(version, changes), true);
            return true;
        }
        if (current == null || !current.version().equals(base)) {
            return false;
        }
        List<Assignment> updated = new ArrayList<>(changes);
        for (Assignment old : current.assignments()) {
            if (changes.stream().noneMatch(c -> c.range().overlaps(old.range()))) {
                updated.add(old);
            }
        }
        updateIfNewer(service, RangeTable.of(version, updated), true);
        return true;
    }

    /** Returns the assignments of {@code next} that {@code old} does not contain. */
    static ImmutableList<Assignment> changedAssignments(RangeTable old, RangeTable next) {
        return next.assignments().stream()
                .filter(a -> !old.find(a.range(), a.fence()).equals(Optional.of(a)))
                .collect(ImmutableList.toImmutableList());
    }
}

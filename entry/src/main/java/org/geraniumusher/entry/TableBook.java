package org.geraniumusher.entry;

import com.google.common.collect.HashMultimap;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.SetMultimap;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.entry.StoreResult.Page;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.FormerHolders;
import org.geraniumusher.keyrange.RangeTable;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Keeps the tables of key ranges.
 *
 * <p>The coordinator sends each change to all daemons. Stale reads of the store, which cost a tenth
 * of a watch, find what was missed; a table that is out of date costs a request that the server
 * refuses as not run. Invariant: the revision of a table never decreases. Confined to the event
 * loop.
 */
final class TableBook {
    private static final long POLL_MILLIS = 2_000;
    private static final long RETRY_MILLIS = 300;

    private final Store mStore;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final DecisionLog mLog;
    private final Runnable mOnChange;
    private final Map<String, RangeTable> mTables = new TreeMap<>();
    private final Map<String, FormerHolders> mFormerHolders = new HashMap<>();

    /** The first keys and the fences of ranges that are granted before the table says so. */
    private final SetMultimap<String, Granted> mGranted = HashMultimap.create();

    private boolean mKnown;

    private record Granted(int first, long fence) {}

    TableBook(
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

    void start() {
        // Only the first read must be a whole and recent one.
        mStore.list(StoreKind.RANGES, "", mKnown)
                .thenAccept(result -> mThread.execute(() -> onListed(result)));
    }

    private void onListed(StoreResult result) {
        if (result instanceof Page page) {
            page.objects().forEach(this::offer);
            setKnown();
        }
        mThread.schedule(this::start, mKnown ? POLL_MILLIS : RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Notes that the tables of a peer or of the store were all seen. */
    void setKnown() {
        if (!mKnown) {
            mKnown = true;
            mOnChange.run();
        }
    }

    boolean isKnown() {
        return mKnown;
    }

    Optional<RangeTable> table(String service) {
        return Optional.ofNullable(mTables.get(service));
    }

    ImmutableMap<String, RangeTable> tables() {
        return ImmutableMap.copyOf(mTables);
    }

    private void offer(StoreObject object) {
        try {
            RangeTable table = RangeTableCodec.decode(object.revision(), object.spec());
            offer(object.name(), table, false);
        } catch (IllegalArgumentException e) {
            mLog.write(
                    Part.OWNERSHIP,
                    "Table of key ranges cannot be read",
                    "service",
                    object.name(),
                    "reason",
                    e.getMessage());
        }
    }

    /**
     * Takes a table if it is newer.
     *
     * @param fromWriter whether the coordinator that wrote it sent it
     */
    void offer(String service, RangeTable table, boolean fromWriter) {
        RangeTable known = mTables.get(service);
        if (known != null && known.revision() > table.revision()) {
            return;
        }
        formerHolders(service).onTable(table, fromWriter, mClock.getAsLong());
        if (known == null || known.revision() < table.revision()) {
            mTables.put(service, table);
            mGranted.get(service).removeIf(g -> !isAwaited(table, g));
            mOnChange.run();
        }
    }

    private static boolean isAwaited(RangeTable table, Granted granted) {
        Assignment assignment = table.find(granted.first());
        return granted.fence() > table.revision()
                || assignment.fence() == granted.fence() && assignment.isMoving();
    }

    /** Returns what the tables told of lives that own a range no more. */
    FormerHolders formerHolders(String service) {
        return mFormerHolders.computeIfAbsent(service, s -> FormerHolders.create());
    }

    /** Takes that a range is granted, which the coordinator cannot write into the table yet. */
    void offerGranted(String service, int first, long fence) {
        if (mGranted.put(service, new Granted(first, fence))) {
            mOnChange.run();
        }
    }

    /** Reports whether the owner of an assignment is granted its range, as far as is known. */
    boolean mayServe(String service, Assignment assignment) {
        return !assignment.isMoving()
                || mGranted.containsEntry(
                        service, new Granted(assignment.range().first(), assignment.fence()));
    }

    /**
     * Takes the assignments that changed since revision {@code base}; returns false when this
     * daemon has another revision and needs the whole table.
     */
    boolean offerChanges(String service, long base, long revision, List<Assignment> changes) {
        RangeTable known = mTables.get(service);
        if (known != null && known.revision() >= revision) {
            return true;
        }
        if (known == null || known.revision() != base) {
            return false;
        }
        List<Assignment> next = new ArrayList<>(changes);
        for (Assignment old : known.assignments()) {
            if (changes.stream().noneMatch(c -> c.range().overlaps(old.range()))) {
                next.add(old);
            }
        }
        offer(service, RangeTable.of(revision, next), true);
        return true;
    }

    /** Returns the assignments of {@code next} that {@code old} does not have. */
    static ImmutableList<Assignment> changes(RangeTable old, RangeTable next) {
        return next.assignments().stream()
                .filter(a -> !old.find(a.range(), a.fence()).equals(Optional.of(a)))
                .collect(ImmutableList.toImmutableList());
    }
}

package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Remembers since when lives of servers are known to get no grants of a range any more. Each daemon
 * keeps it for the tables that it sees, so that a new coordinator need not wait for holds that have
 * run out while another daemon coordinated.
 *
 * <p>Invariant: a life is remembered only from a moment at which the writer of the table is known
 * to follow it. A coordinator renews the grants of the earlier table until it hears that its write
 * was accepted; it has heard that when it sends the table to the daemons, or builds a later table
 * on it. Not thread-safe.
 */
public final class FormerHolders {
    private final Map<String, List<Entry>> mEntries = new HashMap<>();
    private long mRevision = -1;

    /** A life and a range, with the time from which it gets no grants if that is known. */
    private record Entry(KeyRange range, long revision, OptionalLong since) {}

    private FormerHolders() {}

    /** Returns an empty memory, as after the start of a daemon. */
    public static FormerHolders create() {
        return new FormerHolders();
    }

    /**
     * Takes the next table.
     *
     * @param fromWriter whether the coordinator that wrote the table sent it
     */
    public void onTable(RangeTable table, boolean fromWriter, long nowNanos) {
        if (table.revision() < mRevision) {
            return;
        }
        mRevision = table.revision();
        Map<String, List<Entry>> next = new HashMap<>();
        for (Assignment assignment : table.assignments()) {
            for (String life : assignment.previous()) {
                if (life.equals(assignment.owner())) {
                    // A former holder that owns the range again gets grants again.
                    continue;
                }
                Entry entry = follow(life, assignment.range(), fromWriter, nowNanos);
                next.computeIfAbsent(life, l -> new ArrayList<>()).add(entry);
            }
        }
        mEntries.clear();
        mEntries.putAll(next);
    }

    private Entry follow(String life, KeyRange range, boolean fromWriter, long nowNanos) {
        Entry known = find(life, range);
        if (known == null) {
            OptionalLong since = fromWriter ? OptionalLong.of(nowNanos) : OptionalLong.empty();
            return new Entry(range, mRevision, since);
        }
        boolean confirmed = fromWriter || known.revision() < mRevision;
        OptionalLong since =
                known.since().isPresent() || !confirmed ? known.since() : OptionalLong.of(nowNanos);
        return new Entry(range, known.revision(), since);
    }

    /** Returns the time from which a life is known to get no grants of any key of a range. */
    public OptionalLong since(String life, KeyRange range) {
        Entry entry = find(checkNotNull(life), range);
        return entry == null ? OptionalLong.empty() : entry.since();
    }

    private Entry find(String life, KeyRange range) {
        for (Entry entry : mEntries.getOrDefault(life, List.of())) {
            if (entry.range().encloses(range)) {
                return entry;
            }
        }
        return null;
    }
}

package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Records the time from which on former holders of a range are known to receive no more grants of
 * it. Each daemon derives this from the tables that it sees, so that a new coordinator need not
 * wait for holds that already ran out under another coordinator.
 *
 * <p>Invariant: a time is recorded only when the writer of the table is known to act on it. Until a
 * coordinator learns that its write was accepted, it renews the grants of the previous table. It
 * has learned so once it sends the table to the daemons or builds a later table of the same epoch
 * on it. A range with another fence starts anew: in a table that this daemon missed, the former
 * holder may have owned it again. Times are in nanoseconds. Not thread-safe.
 */
public final class FormerHolders {
    private final Map<String, List<Entry>> mEntries = new HashMap<>();
    private StoreVersion mVersion = StoreVersion.NONE;

    /**
     * The range of a former holder, the fence of its present owner, the version of the first table
     * with both, and the time from which on the holder receives no grants if that is known.
     */
    private record Entry(
            KeyRange range, long fence, StoreVersion version, OptionalLong noGrantsSince) {}

    private FormerHolders() {}

    /** Returns an instance without entries, as after the start of a daemon. */
    public static FormerHolders create() {
        return new FormerHolders();
    }

    /**
     * Processes a table; a table older than the last one is ignored.
     *
     * @param fromWriter whether the table came from the coordinator that wrote it
     */
    public void onTable(RangeTable table, boolean fromWriter, long nowNanos) {
        if (mVersion.isAfter(table.version())) {
            return;
        }
        if (table.version().epoch() > mVersion.epoch()) {
            // What a coordinator learned before a restore does not bind the one that starts from
            // the restored table.
            mEntries.clear();
        }
        mVersion = table.version();
        Map<String, List<Entry>> updated = new HashMap<>();
        for (Assignment assignment : table.assignments()) {
            for (String incarnationId : assignment.previous()) {
                if (incarnationId.equals(assignment.owner())) {
                    // A former holder that owns the range again receives grants again.
                    continue;
                }
                Entry entry = updateEntry(incarnationId, assignment, fromWriter, nowNanos);
                updated.computeIfAbsent(incarnationId, id -> new ArrayList<>()).add(entry);
            }
        }
        mEntries.clear();
        mEntries.putAll(updated);
    }

    private Entry updateEntry(
            String incarnationId, Assignment assignment, boolean fromWriter, long nowNanos) {
        KeyRange range = assignment.range();
        Entry previous = find(incarnationId, range);
        if (previous == null || previous.fence() != assignment.fence()) {
            OptionalLong noGrantsSince =
                    fromWriter ? OptionalLong.of(nowNanos) : OptionalLong.empty();
            return new Entry(range, assignment.fence(), mVersion, noGrantsSince);
        }
        boolean confirmed = fromWriter || mVersion.isAfter(previous.version());
        OptionalLong noGrantsSince =
                previous.noGrantsSince().isPresent() || !confirmed
                        ? previous.noGrantsSince()
                        : OptionalLong.of(nowNanos);
        return new Entry(range, previous.fence(), previous.version(), noGrantsSince);
    }

    /**
     * Returns the time from which on an incarnation is known to receive no grants of any key of the
     * range, or empty if it is not known.
     */
    public OptionalLong noGrantsSince(String incarnationId, KeyRange range) {
        Entry entry = find(checkNotNull(incarnationId), range);
        return entry == null ? OptionalLong.empty() : entry.noGrantsSince();
    }

    private Entry find(String incarnationId, KeyRange range) {
        for (Entry entry : mEntries.getOrDefault(incarnationId, List.of())) {
            if (entry.range().encloses(range)) {
                return entry;
            }
        }
        return null;
    }
}

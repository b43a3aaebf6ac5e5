package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.StoreVersion;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Holds the assignments of all keys of one service at one version of the store. Immutable.
 *
 * <p>Invariant: the ranges cover the key space without gaps or overlaps.
 */
public final class RangeTable {
    private final StoreVersion mVersion;
    private final ImmutableList<Assignment> mAssignments;

    private RangeTable(StoreVersion version, ImmutableList<Assignment> assignments) {
        mVersion = version;
        mAssignments = assignments;
    }

    /**
     * Returns a table in which each assignment without a fence gets the fence of {@code version}.
     */
    public static RangeTable of(StoreVersion version, List<Assignment> assignments) {
        ImmutableList<Assignment> sorted =
                assignments.stream()
                        .map(a -> a.withFenceIfUnset(version.toFence()))
                        .sorted(Comparator.comparingInt(a -> a.range().first()))
                        .collect(ImmutableList.toImmutableList());
        checkCovers(sorted);
        return new RangeTable(version, sorted);
    }

    private static void checkCovers(List<Assignment> sorted) {
        int next = 0;
        for (Assignment assignment : sorted) {
            checkArgument(
                    assignment.range().first() == next,
                    "range should start at %s: %s",
                    next,
                    assignment);
            next = assignment.range().last() + 1;
        }
        checkArgument(next == KeyRange.MAX_KEY + 1, "no assignment of key %s", next);
    }

    /**
     * Returns the version of the store at which the table was written: the epoch that its writer
     * knew, and the revision that the store assigned. A table that a restore brings back, or that
     * is written late by a call from before a restore, so keeps its earlier epoch.
     */
    public StoreVersion version() {
        return mVersion;
    }

    /** Returns the assignments in the order of their keys. */
    public ImmutableList<Assignment> assignments() {
        return mAssignments;
    }

    /** Reports whether a server owns keys of a range. */
    boolean ownsPartOf(String owner, KeyRange range) {
        return mAssignments.stream()
                .anyMatch(a -> a.owner().equals(owner) && a.range().overlaps(range));
    }

    /** Returns the assignment of {@code key}, in time logarithmic in the number of ranges. */
    public Assignment find(int key) {
        checkArgument(KeyRange.ALL.contains(key), "key is out of range: %s", key);
        int low = 0;
        int high = mAssignments.size() - 1;
        while (low < high) {
            int middle = (low + high + 1) >>> 1;
            if (mAssignments.get(middle).range().first() <= key) {
                low = middle;
            } else {
                high = middle - 1;
            }
        }
        return mAssignments.get(low);
    }

    /** Returns the assignment of exactly {@code range} with {@code fence}. */
    public Optional<Assignment> find(KeyRange range, long fence) {
        checkNotNull(range);
        Assignment found = find(range.first());
        return found.range().equals(range) && found.fence() == fence
                ? Optional.of(found)
                : Optional.empty();
    }
}

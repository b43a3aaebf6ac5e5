package org.geraniumusher.keyrange;

import com.google.common.collect.ImmutableList;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Stream;

/**
 * A range that no server can be granted before a time, unless its silent holder answers again or is
 * proved to have terminated. Immutable.
 *
 * @param firstKey first key of the range
 * @param fence fence of its present assignment
 * @param notBefore time in nanoseconds on the clock of the daemon that has this object
 */
public record NextOwner(int firstKey, long fence, long notBefore) {
    /** A shorter wait is nearly over before the daemons know of it. */
    static final long MIN_WAIT_NANOS = 500_000_000L;

    /** Returns the ranges whose leases cannot be granted to another server soon. */
    static ImmutableList<NextOwner> ofLeases(
            Collection<Lease> leases, Set<String> terminated, long nowNanos) {
        return sorted(
                leases.stream()
                        .map(l -> of(l.assignment(), l.nextOwnerNotBefore(terminated, nowNanos))),
                nowNanos);
    }

    /**
     * Returns the ranges of a table without a usable owner, which get none before the first write
     * of a term. A range that does not move keeps its owner as long as that is listed.
     */
    static ImmutableList<NextOwner> ofTable(
            RangeTable table, Set<String> listed, long firstWriteAt, long nowNanos) {
        return sorted(
                table.assignments().stream()
                        .filter(a -> a.isMoving() || !listed.contains(a.owner()))
                        .map(a -> of(a, firstWriteAt)),
                nowNanos);
    }

    private static NextOwner of(Assignment assignment, long notBefore) {
        return new NextOwner(assignment.range().first(), assignment.fence(), notBefore);
    }

    private static ImmutableList<NextOwner> sorted(Stream<NextOwner> all, long nowNanos) {
        return all.filter(o -> o.notBefore() - nowNanos >= MIN_WAIT_NANOS)
                .sorted(Comparator.comparingInt(NextOwner::firstKey))
                .collect(ImmutableList.toImmutableList());
    }
}

package org.geraniumusher.keyrange;

import com.google.common.collect.ImmutableList;

import java.util.Collection;

/**
 * Holds that a coordinator knew when its term ended. Immutable.
 *
 * <p>Invariant: an incarnation holds no key of a range unless an entry says so, as long as the
 * coordinator sends no grant after it made the report and nobody else coordinated since. All times
 * are in nanoseconds.
 */
public record HoldReport(ImmutableList<Entry> entries) {
    /**
     * Bounds the hold of an incarnation on a range.
     *
     * @param end time by which the hold has run out
     * @param lateGrantUntil time until which a grant without an answer may still take effect
     */
    public record Entry(KeyRange range, String incarnationId, long end, long lateGrantUntil) {}

    /**
     * Returns the report on the clock of another daemon, at which it arrives at {@code nowNanos}.
     *
     * @param sentAtNanos time of the sending on the clock of this report
     */
    public HoldReport receivedAt(long nowNanos, long sentAtNanos) {
        return new HoldReport(
                entries.stream()
                        .map(
                                e ->
                                        new Entry(
                                                e.range(),
                                                e.incarnationId(),
                                                received(e.end(), nowNanos, sentAtNanos),
                                                received(
                                                        e.lateGrantUntil(), nowNanos, sentAtNanos)))
                        .collect(ImmutableList.toImmutableList()));
    }

    private static long received(long endNanos, long nowNanos, long sentAtNanos) {
        return HoldBounds.latest(Math.max(0, endNanos - sentAtNanos), nowNanos);
    }

    /** Returns a report of the leases. */
    static HoldReport of(Collection<Lease> leases) {
        ImmutableList.Builder<Entry> entries = ImmutableList.builder();
        for (Lease lease : leases) {
            KeyRange range = lease.assignment().range();
            lease.holds()
                    .forEach(
                            (incarnationId, hold) ->
                                    entries.add(
                                            new Entry(
                                                    range,
                                                    incarnationId,
                                                    hold.end(),
                                                    hold.lateGrantUntil())));
        }
        return new HoldReport(entries.build());
    }

    /** Returns the bounds of the hold of an incarnation on keys of a range. */
    Lease.Hold holdOf(String incarnationId, KeyRange range) {
        return entries.stream()
                .filter(e -> e.incarnationId().equals(incarnationId) && e.range().overlaps(range))
                .map(e -> new Lease.Hold(e.end(), e.lateGrantUntil(), Lease.NEVER))
                .reduce(Lease.Hold::max)
                .orElse(Lease.Hold.NONE);
    }
}

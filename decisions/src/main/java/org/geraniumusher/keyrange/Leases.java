package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Holds the leases of the assignments of one table. Not thread-safe.
 *
 * <p>Invariant: a new lease knows all holds on its range that the leases before it know, and those
 * that only former coordinators may have granted. All times are in nanoseconds.
 */
final class Leases {
    private final HoldBounds mHoldBounds;
    private final FormerHolders mFormerHolders;
    private final Map<Key, Lease> mLeases = new HashMap<>();

    /** What the coordinator before this term knew at its end, if it said so. */
    private Optional<HoldReport> mFormerReport = Optional.empty();

    private record Key(KeyRange range, long fence) {}

    Leases(HoldBounds holdBounds, FormerHolders formerHolders) {
        mHoldBounds = checkNotNull(holdBounds);
        mFormerHolders = checkNotNull(formerHolders);
    }

    /** Sets what the coordinator before this term knew at its end. */
    void setFormerReport(Optional<HoldReport> report) {
        mFormerReport = checkNotNull(report);
    }

    /** Returns an unmodifiable view of all leases. */
    Collection<Lease> all() {
        return Collections.unmodifiableCollection(mLeases.values());
    }

    /**
     * Returns all leases by when their holds run out, those without one first and those whose
     * grants fail last.
     */
    List<Lease> byUrgency() {
        return mLeases.values().stream()
                .sorted(Comparator.comparing(Lease::isFailing).thenComparingLong(Lease::holdEnd))
                .toList();
    }

    boolean isEmpty() {
        return mLeases.isEmpty();
    }

    /** Returns the leases of the ranges that a server owns. */
    Stream<Lease> of(String owner) {
        return mLeases.values().stream().filter(l -> l.assignment().owner().equals(owner));
    }

    Optional<Lease> find(Assignment assignment) {
        return find(assignment.range(), assignment.fence());
    }

    Optional<Lease> find(KeyRange range, long fence) {
        return Optional.ofNullable(mLeases.get(new Key(range, fence)));
    }

    void clear() {
        mLeases.clear();
    }

    /**
     * Replaces the leases by those of the assignments of a table.
     *
     * @param former the table with which the term began, if this is the first one of the term
     */
    void install(RangeTable table, Optional<RangeTable> former, long nowNanos) {
        Map<Key, Lease> previousLeases = new HashMap<>(mLeases);
        mLeases.clear();
        for (Assignment assignment : table.assignments()) {
            Key key = new Key(assignment.range(), assignment.fence());
            Lease lease = previousLeases.get(key);
            if (lease == null) {
                lease = create(assignment, previousLeases.values(), nowNanos);
                if (former.isPresent()
                        && former.get().ownsPartOf(assignment.owner(), assignment.range())) {
                    lease.inheritHold(formerOwnersHold(assignment, nowNanos));
                }
            }
            lease.update(assignment);
            mLeases.put(key, lease);
        }
    }

    private Lease create(Assignment assignment, Collection<Lease> previousLeases, long nowNanos) {
        for (Lease lease : previousLeases) {
            if (!lease.assignment().range().encloses(assignment.range())) {
                continue;
            }
            if (lease.assignment().fence() == assignment.fence()) {
                return lease.partOf(assignment, nowNanos);
            }
            if (lease.assignment().owner().equals(assignment.owner())) {
                return lease.withNewFence(assignment, nowNanos);
            }
        }
        Lease created = new Lease(assignment, nowNanos);
        List<Lease> overlapping =
                previousLeases.stream()
                        .filter(l -> l.assignment().range().overlaps(assignment.range()))
                        .toList();
        overlapping.stream().mapToLong(Lease::lostSince).min().ifPresent(created::setLostSince);
        overlapping.stream()
                .flatMap(l -> l.holdOf(assignment.owner()).stream())
                .forEach(created::inheritHold);
        for (String incarnationId : assignment.previous()) {
            Optional<Lease.Hold> known =
                    overlapping.stream()
                            .flatMap(l -> l.holdOf(incarnationId).stream())
                            .reduce(Lease.Hold::max);
            // Without a lease in this term, a former coordinator may have renewed the grant just
            // now.
            Lease.Hold hold =
                    known.orElseGet(() -> formerHold(incarnationId, assignment.range(), nowNanos));
            // The owner need not wait for its own hold, but the next owner must know of it.
            if (incarnationId.equals(assignment.owner())) {
                created.inheritHold(hold);
            } else {
                created.addHolder(incarnationId, hold, known.isEmpty());
            }
        }
        return created;
    }

    /** Returns the bounds of the hold of an owner that was one before this term too. */
    private Lease.Hold formerOwnersHold(Assignment assignment, long nowNanos) {
        return mFormerReport
                .map(r -> r.holdOf(assignment.owner(), assignment.range()))
                .orElseGet(() -> Lease.Hold.withLateGrants(mHoldBounds.formerHoldEnd(nowNanos)));
    }

    /**
     * Returns the bounds of a hold that only former coordinators may have granted. Without a report
     * it is not known which of their grants were answered.
     */
    private Lease.Hold formerHold(String incarnationId, KeyRange range, long nowNanos) {
        if (mFormerReport.isPresent()) {
            return mFormerReport.get().holdOf(incarnationId, range);
        }
        long lastGrant = mFormerHolders.noGrantsSince(incarnationId, range).orElse(nowNanos);
        return Lease.Hold.withLateGrants(mHoldBounds.formerHoldEnd(lastGrant, nowNanos));
    }
}

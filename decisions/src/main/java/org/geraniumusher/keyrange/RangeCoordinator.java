package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Grants the ranges of one service and moves them, while its daemon is the coordinator.
 *
 * <p>Invariants: an assignment is in the store before its owner is granted the range; the owner is
 * granted the range only when each earlier holder has released it, is proved to be gone, or has
 * outlived its hold; a fence is the revision of the write that stored the assignment, so it is
 * higher than all earlier ones.
 *
 * <p>Takes results as calls with the time, and asks for calls through {@link Port}. Not
 * thread-safe.
 */
public final class RangeCoordinator {
    private static final long RENEWAL_NANOS = 1_000_000_000L;

    /**
     * Hold of a grant while the store answers. The keys of a server that falls silent are without
     * an owner for this long; a coordinator that is lost must be replaced within it.
     */
    private static final long HOLD_NANOS = 4_000_000_000L;

    /**
     * No grant lasts longer than this after its coordinator was last confirmed by the store. Covers
     * an outage of 8 s, the longest of the operators' sites, the pause between two confirmations
     * before it and an election after it.
     */
    private static final long UNCONFIRMED_NANOS = 11_500_000_000L;

    private static final long RETRY_NANOS = 300_000_000L;

    /** Time for a call to reach a server on links without a fault. */
    private static final long ARRIVAL_NANOS = 300_000_000L;

    /** A server's clock may run slower than ours by 2%; one more for our own. */
    private static final double CLOCK_FACTOR = 1.03;

    /** Pause between load moves, so that the effect of one is seen before the next. */
    private static final long MOVE_PAUSE_NANOS = 700_000_000L;

    /** Load moves at a time in a small service. */
    private static final int MIN_LOAD_MOVES = 3;

    /**
     * Share of the servers of a large service that may take part in load moves at a time. The
     * others go on undisturbed, so that a wrong count cannot upset the whole service at once.
     */
    private static final double MOVING_SHARE = 0.125;

    /** Makes the calls of the coordinator. Each is answered by a method of the coordinator. */
    public interface Port {
        /** Writes the table if its revision in the store is {@code expectedRevision}. */
        void write(ImmutableList<Assignment> assignments, long expectedRevision);

        /** Grants the range of an assignment to its owner for {@code holdNanos}. */
        void grant(Assignment assignment, long holdNanos, Optional<String> handover);

        /** Asks a life of a server to release a range. */
        void release(String life, KeyRange range, long fence);
    }

    private final Port mPort;
    private final long mMaxHoldNanos;
    private final KeyLoad mLoad;
    private final Map<String, RangeServer> mServers = new LinkedHashMap<>();
    private final Set<String> mGone = new HashSet<>();
    private final Map<LeaseKey, Lease> mLeases = new HashMap<>();
    private RangeTable mTable;
    private final FormerHolders mFormerHolders;
    private boolean mStoreAway;
    private long mConfirmedAt;
    private long mFormerHoldEnd;
    private boolean mStarted;
    private boolean mRestamp;
    private ImmutableList<Assignment> mWriting;
    private boolean mCalling;
    private long mNextWrite;
    private long mNextMove;

    private record LeaseKey(KeyRange range, long fence) {}

    private RangeCoordinator(
            Port port, long maxHoldNanos, KeyLoad load, FormerHolders formerHolders) {
        mPort = port;
        mMaxHoldNanos = maxHoldNanos;
        mLoad = load;
        mFormerHolders = formerHolders;
    }

    /**
     * Returns a coordinator of which no grant is longer than {@code maxHoldNanos}.
     *
     * @param formerHolders what this daemon has seen in the tables of other coordinators
     */
    public static RangeCoordinator create(
            Port port, long maxHoldNanos, KeyLoad load, FormerHolders formerHolders) {
        return new RangeCoordinator(
                checkNotNull(port), maxHoldNanos, checkNotNull(load), checkNotNull(formerHolders));
    }

    /**
     * Tells when the store last confirmed this coordinator, and whether it answers now. While it
     * does not, no other daemon can take over, so grants get longer holds and outlast the authority
     * of this daemon.
     */
    public void setConfirmed(long confirmedAtNanos, boolean storeAway) {
        mConfirmedAt = confirmedAtNanos;
        mStoreAway = storeAway;
    }

    private long holdNanos(long nowNanos) {
        long hold = mStoreAway ? mConfirmedAt + UNCONFIRMED_NANOS - nowNanos : HOLD_NANOS;
        return Math.min(hold, mMaxHoldNanos);
    }

    /**
     * Begins a term with the table in the store, or none when the service has no table yet.
     *
     * @param formerConfirmedBy time by which the store last confirmed the coordinator before
     */
    public void start(Optional<RangeTable> table, long formerConfirmedBy, long nowNanos) {
        mFormerHoldEnd = holdEnd(formerConfirmedBy, UNCONFIRMED_NANOS);
        begin(table, nowNanos);
    }

    private void begin(Optional<RangeTable> table, long nowNanos) {
        mStarted = true;
        mLeases.clear();
        mWriting = null;
        mTable = table.orElse(null);
        mRestamp = table.isPresent();
        mNextWrite = nowNanos;
    }

    /** Renews the grants of a server now, because requests to it got no answer. */
    public void verify(String life, long nowNanos) {
        mLeases.values().stream()
                .filter(l -> l.assignment().owner().equals(life))
                .forEach(l -> l.callSoon(nowNanos));
    }

    /** Returns the table as last written or read. */
    public Optional<RangeTable> table() {
        return Optional.ofNullable(mTable);
    }

    /** Reports whether a term has begun. */
    public boolean isStarted() {
        return mStarted;
    }

    /** Takes the servers of the service that may own ranges. */
    public void onServers(Collection<RangeServer> servers) {
        mServers.clear();
        servers.forEach(s -> mServers.put(s.life(), s));
    }

    /** Notes that a life of a server is proved to have ended. */
    public void onGone(String life) {
        mGone.add(life);
    }

    /** Does what is due. */
    public void tick(long nowNanos) {
        if (!mStarted) {
            return;
        }
        if (!mCalling && nowNanos >= mNextWrite) {
            writeNext(nowNanos);
        }
        for (Lease lease : mLeases.values()) {
            advance(lease, nowNanos);
        }
    }

    private void writeNext(long nowNanos) {
        if (mWriting == null) {
            ImmutableList<Assignment> next = plan(nowNanos);
            if (next.isEmpty() || mTable != null && next.equals(mTable.assignments())) {
                return;
            }
            mWriting = next;
        }
        mCalling = true;
        mPort.write(mWriting, mTable == null ? 0 : mTable.revision());
    }

    /** Takes the revision that a write got. */
    public void onWritten(long revision, long nowNanos) {
        mCalling = false;
        if (mStarted && mWriting != null) {
            adopt(RangeTable.of(revision, mWriting), nowNanos);
        }
    }

    /** Takes the table that was found in place of the expected one. */
    public void onWriteConflict(RangeTable current, long nowNanos) {
        mCalling = false;
        if (!mStarted) {
            return;
        }
        // A write without an answer may have been the one that changed the table.
        if (mWriting != null
                && current.assignments()
                        .equals(RangeTable.of(current.revision(), mWriting).assignments())) {
            adopt(current, nowNanos);
        } else {
            mFormerHoldEnd = Long.MAX_VALUE;
            begin(Optional.of(current), nowNanos);
        }
    }

    /** Notes that a write got no answer; it is repeated with the same content. */
    public void onWriteUnknown(long nowNanos) {
        mCalling = false;
        mNextWrite = nowNanos + RETRY_NANOS;
    }

    private void adopt(RangeTable table, long nowNanos) {
        Optional<RangeTable> former = mRestamp ? Optional.of(mTable) : Optional.empty();
        mWriting = null;
        mRestamp = false;
        mTable = table;
        Map<LeaseKey, Lease> old = new HashMap<>(mLeases);
        mLeases.clear();
        for (Assignment assignment : table.assignments()) {
            LeaseKey key = new LeaseKey(assignment.range(), assignment.fence());
            Lease lease = old.get(key);
            if (lease == null) {
                lease = createLease(assignment, old.values(), nowNanos);
                if (former.isPresent() && isOwnedIn(former.get(), assignment)) {
                    lease.inheritHold(formerHoldEnd(nowNanos));
                }
            }
            lease.update(assignment);
            mLeases.put(key, lease);
        }
    }

    /** Reports whether a former coordinator may have granted the owner keys of the range. */
    private static boolean isOwnedIn(RangeTable table, Assignment assignment) {
        return table.assignments().stream()
                .anyMatch(
                        a ->
                                a.owner().equals(assignment.owner())
                                        && a.range().overlaps(assignment.range()));
    }

    private Lease createLease(Assignment assignment, Collection<Lease> old, long nowNanos) {
        for (Lease lease : old) {
            if (lease.assignment().fence() == assignment.fence()
                    && lease.assignment().range().encloses(assignment.range())) {
                return lease.partOf(assignment, nowNanos);
            }
        }
        Lease created = new Lease(assignment, nowNanos);
        for (String life : assignment.previous()) {
            // Without a record of our own, a former coordinator may have renewed it just now.
            Lease.Hold hold =
                    old.stream()
                            .filter(l -> l.assignment().range().overlaps(assignment.range()))
                            .flatMap(l -> l.holdOf(life, nowNanos).stream())
                            .reduce(Lease.Hold::max)
                            .orElse(formerHold(life, assignment.range(), nowNanos));
            created.addHolder(life, hold);
        }
        return created;
    }

    /** Bounds the hold of a life that only former coordinators have granted keys of a range. */
    private Lease.Hold formerHold(String life, KeyRange range, long nowNanos) {
        long lastGrant = mFormerHolders.since(life, range).orElse(nowNanos);
        long end = Math.min(formerHoldEnd(nowNanos), holdEnd(lastGrant, mMaxHoldNanos));
        return new Lease.Hold(end, 0);
    }

    /** Bounds all grants of former coordinators. */
    private long formerHoldEnd(long nowNanos) {
        return Math.min(holdEnd(nowNanos, mMaxHoldNanos), mFormerHoldEnd);
    }

    private static long holdEnd(long sentNanos, long holdNanos) {
        return sentNanos + (long) (holdNanos * CLOCK_FACTOR) + ARRIVAL_NANOS;
    }

    private void advance(Lease lease, long nowNanos) {
        Assignment assignment = lease.assignment();
        lease.dropEnded(mGone, nowNanos);
        for (String life : lease.takeDueReleases(nowNanos)) {
            mPort.release(life, assignment.range(), assignment.fence());
        }
        if (lease.isGrantDue(nowNanos)
                && !mGone.contains(assignment.owner())
                && (lease.isSent() || isKept(assignment))) {
            long hold = holdNanos(nowNanos);
            lease.onSent(holdEnd(nowNanos, hold));
            mPort.grant(assignment, hold, lease.handover());
        }
    }

    /**
     * Reports whether the write in flight, if any, leaves the assignment as it is. Otherwise the
     * write was planned without a first grant that is sent now, and would not wait for its hold.
     */
    private boolean isKept(Assignment assignment) {
        return mWriting == null
                || mWriting.stream()
                        .anyMatch(
                                a ->
                                        a.fence() == assignment.fence()
                                                && a.range().equals(assignment.range()));
    }

    /** Returns the ranges that are granted, while the table says that they are still moving. */
    public ImmutableList<Assignment> grantedWhileMoving() {
        return mLeases.values().stream()
                .filter(l -> l.isGranted() && l.assignment().isMoving())
                .map(Lease::assignment)
                .collect(ImmutableList.toImmutableList());
    }

    /** Notes that the owner holds the range. */
    public void onGranted(Assignment assignment, long nowNanos) {
        lease(assignment).ifPresent(l -> l.onAccepted(nowNanos + RENEWAL_NANOS));
    }

    /** Notes that the owner has seen a higher fence. */
    public void onGrantFenced(Assignment assignment) {
        lease(assignment).ifPresent(Lease::onFenced);
    }

    /** Notes that a grant got no answer. */
    public void onGrantUnknown(Assignment assignment, long nowNanos) {
        lease(assignment).ifPresent(l -> l.onUnknown(nowNanos + RETRY_NANOS));
    }

    /** Notes that a life has stopped work on a range. */
    public void onReleased(String life, KeyRange range, long fence, Optional<String> handover) {
        lease(range, fence).ifPresent(l -> l.onReleased(life, handover));
    }

    /** Notes that a release got no answer. */
    public void onReleaseUnknown(String life, KeyRange range, long fence, long nowNanos) {
        lease(range, fence).ifPresent(l -> l.onReleaseUnknown(life, nowNanos + RETRY_NANOS));
    }

    private Optional<Lease> lease(Assignment assignment) {
        return lease(assignment.range(), assignment.fence());
    }

    private Optional<Lease> lease(KeyRange range, long fence) {
        return Optional.ofNullable(mLeases.get(new LeaseKey(range, fence)));
    }

    private ImmutableList<Assignment> plan(long nowNanos) {
        if (mTable == null) {
            return RangePlanner.divide(mServers.values());
        }
        List<RangeServer> servers =
                mServers.values().stream().filter(s -> !mGone.contains(s.life())).toList();
        mLoad.advance(nowNanos);
        RangePlanner planner = RangePlanner.create(servers, mLoad);
        if (mTable.assignments().stream().anyMatch(a -> !isUsable(a.owner()))) {
            planner.measure(mTable.assignments());
        }
        List<Assignment> next = new ArrayList<>();
        for (Assignment assignment : mTable.assignments()) {
            next.addAll(replan(assignment, planner));
        }
        if (!mRestamp && nowNanos >= mNextMove) {
            mNextMove = nowNanos + MOVE_PAUSE_NANOS;
            moveForLoad(next, planner);
        }
        return ImmutableList.copyOf(next);
    }

    private List<Assignment> replan(Assignment assignment, RangePlanner planner) {
        Lease lease = lease(assignment).orElse(null);
        if (!isUsable(assignment.owner())) {
            List<Assignment> parts = planner.adopt(assignment, holdersOf(assignment, lease));
            if (!parts.isEmpty()) {
                return parts;
            }
        }
        if (mRestamp || lease != null && lease.needsNewFence()) {
            return List.of(
                    new Assignment(
                            assignment.range(),
                            assignment.owner(),
                            Assignment.UNSTAMPED,
                            assignment.previous()));
        }
        boolean done = lease != null && lease.isGranted() && assignment.isMoving();
        return List.of(done ? assignment.withPrevious(ImmutableList.of()) : assignment);
    }

    private boolean isUsable(String life) {
        RangeServer server = mServers.get(life);
        return server != null && server.mayTake() && !mGone.contains(life);
    }

    /** Returns all lives that may hold keys of the range, the owner among them. */
    private ImmutableList<String> holdersOf(Assignment assignment, Lease lease) {
        Set<String> holders = new HashSet<>(assignment.previous());
        if (lease != null) {
            holders.retainAll(lease.holders());
        }
        if (lease == null || lease.mayBeHeld()) {
            holders.add(assignment.owner());
        }
        holders.removeAll(mGone);
        return ImmutableList.sortedCopyOf(holders);
    }

    private void moveForLoad(List<Assignment> next, RangePlanner planner) {
        long moving = next.stream().filter(Assignment::isMoving).count();
        long most = Math.max(MIN_LOAD_MOVES, (long) (mServers.size() * MOVING_SHARE));
        while (moving < most) {
            planner.measure(next);
            List<Assignment> movable = next.stream().filter(this::isMovable).toList();
            Optional<RangeMove> move = planner.relieve(movable);
            if (move.isEmpty()) {
                return;
            }
            apply(next, move.get());
            moving++;
        }
    }

    private boolean isMovable(Assignment assignment) {
        return !assignment.isMoving()
                && assignment.fence() != Assignment.UNSTAMPED
                && lease(assignment).map(Lease::isGranted).orElse(false);
    }

    private void apply(List<Assignment> next, RangeMove move) {
        for (int i = 0; i < next.size(); i++) {
            Assignment source = next.get(i);
            if (!move.appliesTo(source)) {
                continue;
            }
            checkState(!source.isMoving(), "already moving: %s", source);
            next.remove(i);
            KeyRange range = source.range();
            KeyRange window = move.window();
            if (range.first() < window.first()) {
                next.add(i++, source.withRange(new KeyRange(range.first(), window.first() - 1)));
            }
            next.add(
                    i++,
                    new Assignment(
                            window,
                            move.target(),
                            Assignment.UNSTAMPED,
                            ImmutableList.of(source.owner())));
            if (window.last() < range.last()) {
                next.add(i, source.withRange(new KeyRange(window.last() + 1, range.last())));
            }
            return;
        }
    }
}

package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.model.StoreVersion;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Grants the ranges of one service and moves them while this daemon is the coordinator.
 *
 * <p>Invariants: an assignment is in the store before its owner is granted the range. The owner is
 * granted the range only when each former holder has released it, is proved to have terminated, or
 * has a hold that has run out. A fence is derived from the version of the write that stored the
 * assignment, so it is higher than all earlier fences, also those from before a restore of the
 * store.
 *
 * <p>Does no I/O: it sends calls through {@link OutgoingCalls} and receives their results as method
 * calls with the current time. All times are in nanoseconds. Not thread-safe.
 */
public final class RangeCoordinator {
    private static final long RENEWAL_INTERVAL_NANOS = 1_000_000_000L;

    private static final long RETRY_DELAY_NANOS = 300_000_000L;

    /**
     * Time after which a grant without an answer is given up. Until then packets that were lost are
     * sent again, so that it may still reach the server.
     */
    public static final long GRANT_TIME_LIMIT_NANOS = 500_000_000L;

    /** Time for which renewals wait for a write that changes their assignments. */
    private static final long RENEWAL_DEFERRAL_NANOS = 300_000_000L;

    /** Interval between load moves, so that the effect of one shows before the next is planned. */
    private static final long LOAD_MOVE_INTERVAL_NANOS = 700_000_000L;

    /** Number of concurrent load moves that a service of any size may have. */
    private static final int MIN_CONCURRENT_MOVES = 3;

    /**
     * Concurrent load moves that a larger service may have, as a share of its servers. The other
     * servers are unaffected, so that a wrong load count cannot disturb the whole service at once.
     */
    private static final double MAX_MOVING_SHARE = 0.125;

    /** Sends the calls of the coordinator. A method of the coordinator receives each result. */
    public interface OutgoingCalls {
        /** Writes the table if its revision in the store is {@code expectedRevision}. */
        void write(ImmutableList<Assignment> assignments, long expectedRevision);

        /** Grants the range of an assignment to its owner for {@code holdNanos}. */
        void grant(Assignment assignment, long holdNanos, Optional<String> handover);

        /** Asks an incarnation of a server to release a range. */
        void release(String incarnationId, KeyRange range, long fence);
    }

    private final OutgoingCalls mCalls;
    private HoldListener mHoldListener = HoldListener.NONE;
    private final HoldBounds mHoldBounds;
    private final KeyLoad mLoad;
    private final Map<String, RangeServer> mServers = new LinkedHashMap<>();
    private final Set<String> mTerminated = new HashSet<>();
    private final Set<String> mReplaced = new HashSet<>();
    private final ServerReachability mReachability = new ServerReachability();
    private final Leases mLeases;
    private final CallPace mCallPace = new CallPace();
    private RangeTable mTable;
    private final FormerHolders mFormerHolders;
    private boolean mStarted;
    private long mEpoch;
    private boolean mRestored;

    /** Revision of the table in the store, 0 if there is none, or {@link #UNKNOWN_REVISION}. */
    private long mStoredRevision;

    private boolean mNeedsNewFences;

    /** The table with which the term began, until the first write of the term is accepted. */
    private Optional<RangeTable> mFormerTable = Optional.empty();

    private ImmutableList<Assignment> mPendingAssignments;

    /** When {@link #mPendingAssignments} were planned. */
    private long mPendingSince;

    private boolean mLossesHeldBack;
    private boolean mWriteInFlight;
    private long mNextWriteAt;
    private long mNextLoadMoveAt;

    private static final long UNKNOWN_REVISION = -1;

    private RangeCoordinator(
            OutgoingCalls calls, long maxHoldNanos, KeyLoad load, FormerHolders formerHolders) {
        mCalls = calls;
        mHoldBounds = new HoldBounds(maxHoldNanos);
        mLoad = load;
        mFormerHolders = formerHolders;
        mLeases = new Leases(mHoldBounds, formerHolders);
    }

    /**
     * Returns a coordinator that grants no hold longer than {@code maxHoldNanos}.
     *
     * @param formerHolders what this daemon has seen in the tables of other coordinators
     */
    public static RangeCoordinator create(
            OutgoingCalls calls, long maxHoldNanos, KeyLoad load, FormerHolders formerHolders) {
        return new RangeCoordinator(
                checkNotNull(calls), maxHoldNanos, checkNotNull(load), checkNotNull(formerHolders));
    }

    /** Sets the listener that is told of holds that have ended. */
    public void setHoldListener(HoldListener listener) {
        mHoldListener = checkNotNull(listener);
    }

    /**
     * Sets when the store last confirmed this coordinator and whether the store is unavailable.
     * While it is unavailable, no other daemon can take over, so grants get longer holds, which may
     * end after the authority of this daemon.
     */
    public void setStoreStatus(long confirmedAtNanos, boolean storeUnavailable) {
        mHoldBounds.setStoreStatus(confirmedAtNanos, storeUnavailable);
    }

    /** Sets the epoch of the store that this daemon saw first. */
    public void setInitialEpoch(long epoch) {
        mEpoch = epoch;
    }

    /**
     * Processes a restore of the store. In a term, which must have authority from before the
     * restore, the table and the leases in memory stay valid, and the table is written again with
     * new fences after {@link #onStoredTable}. The caller must drop the results of writes that it
     * sent before.
     */
    public void onNewEpoch(long epoch) {
        mEpoch = epoch;
        mRestored = true;
        if (mStarted) {
            mWriteInFlight = false;
            mPendingAssignments = null;
            mNeedsNewFences = mTable != null;
            mStoredRevision = UNKNOWN_REVISION;
        }
    }

    /** Returns the epoch of the store that this coordinator knows. */
    public long epoch() {
        return mEpoch;
    }

    /** Reports whether writes wait for {@link #onStoredTable}. */
    public boolean needsStoredTable() {
        return mStarted && mStoredRevision == UNKNOWN_REVISION;
    }

    /** Processes the table that the store has after a restore, or empty if it has none. */
    public void onStoredTable(Optional<RangeTable> stored, long nowNanos) {
        if (!needsStoredTable()) {
            return;
        }
        if (stored.isPresent()) {
            onOtherTable(stored.get(), nowNanos);
        } else {
            mStoredRevision = 0;
        }
    }

    /** Returns the time in nanoseconds before which the table is not written. */
    public long nextWriteAt() {
        return mNextWriteAt;
    }

    /**
     * Sets the holds that the coordinator before this term knew at its end, which then need not be
     * taken to be the longest ones. Must be called before {@link #start}.
     */
    public void setFormerReport(HoldReport report) {
        mLeases.setFormerReport(Optional.of(report));
    }

    /** Returns the holds that are known, or empty if no table of this term is in the store. */
    public Optional<HoldReport> holdReport() {
        return mLeases.isEmpty() ? Optional.empty() : Optional.of(HoldReport.of(mLeases.all()));
    }

    /**
     * Starts a term with the table in the store, or empty when the service has no table yet.
     *
     * <p>If the table is of an earlier epoch, a restore may have taken back later tables, by which
     * any server may have been granted any key. Nothing is granted before the grants of former
     * coordinators have ended. The table is not written before either, because it would then look
     * complete to a coordinator that takes over meanwhile.
     *
     * @param former bounds the grants of former coordinators
     */
    public void start(
            Optional<RangeTable> table,
            CoordinatorElection.FormerCoordinators former,
            long nowNanos) {
        mHoldBounds.setFormerCoordinators(former);
        beginTerm(table, nowNanos);
    }

    private void beginTerm(Optional<RangeTable> table, long nowNanos) {
        mStarted = true;
        // The daemon may have missed tables that gave ranges back to a former holder.
        table.ifPresent(t -> mFormerHolders.onTable(t, false, nowNanos));
        mLeases.clear();
        mPendingAssignments = null;
        mTable = table.orElse(null);
        mFormerTable = table;
        mStoredRevision = table.map(t -> t.version().revision()).orElse(0L);
        mNeedsNewFences = table.isPresent();
        boolean mayBeIncomplete = table.map(t -> t.version().epoch() < mEpoch).orElse(mRestored);
        if (mayBeIncomplete) {
            mLeases.setFormerReport(Optional.empty());
            mHoldBounds.limitFormerHolds(nowNanos);
        }
        mNextWriteAt =
                mayBeIncomplete
                        ? Math.max(nowNanos, mHoldBounds.formerHoldEnd(nowNanos))
                        : nowNanos;
    }

    /**
     * Makes the grants of an incarnation due for renewal, for use when requests to it get no
     * answer.
     */
    public void renewGrants(String incarnationId, long nowNanos) {
        mLeases.of(incarnationId).forEach(l -> l.renewOnNextTick(nowNanos));
    }

    /** Returns the table as last written or read. */
    public Optional<RangeTable> table() {
        return Optional.ofNullable(mTable);
    }

    /** Reports whether a term has started. */
    public boolean isStarted() {
        return mStarted;
    }

    /** Replaces the servers of the service that the planner considers. */
    public void onServers(Collection<RangeServer> servers) {
        mServers.clear();
        servers.forEach(s -> mServers.put(s.incarnationId(), s));
    }

    /** Returns the servers that the planner considers and whose last grant failed. */
    public ImmutableSet<String> failingServers() {
        return mReachability.failingOf(mServers.keySet());
    }

    /** Sets whether no server is taken for lost and no range moves for its load for now. */
    public void setLossesHeldBack(boolean heldBack) {
        mLossesHeldBack = heldBack;
    }

    /** Records that an incarnation of a server is proved to have terminated. */
    public void onTerminated(String incarnationId) {
        mTerminated.add(incarnationId);
    }

    /**
     * Records that a later incarnation with the same ID answers at the address of this one. It may
     * have accepted grants that were meant for this one, which gets no more grants but counts as a
     * holder until it has released its ranges.
     */
    public void onReplaced(String incarnationId) {
        mReplaced.add(incarnationId);
    }

    /** Sends the writes, releases and grants that are due. */
    public void tick(long nowNanos) {
        if (!mStarted) {
            return;
        }
        updateReachability(nowNanos);
        if (!mWriteInFlight && !needsStoredTable() && nowNanos >= mNextWriteAt) {
            writeNext(nowNanos);
        }
        mCallPace.advance(mLeases.all().size(), nowNanos);
        mLeases.byUrgency().forEach(lease -> sendDueCalls(lease, nowNanos));
    }

    private void updateReachability(long nowNanos) {
        Predicate<String> ownsRanges = id -> mLeases.of(id).findAny().isPresent();
        mReachability
                .takeReturned(ownsRanges, nowNanos)
                .forEach(id -> onOwnerReturned(id, nowNanos));
        for (Lease lease : mLeases.all()) {
            Assignment assignment = lease.assignment();
            if (!mLossesHeldBack
                    && lease.isOwnerLost(nowNanos)
                    && !mReachability.isLost(assignment.owner())) {
                mReachability.onLost(assignment, nowNanos);
                mHoldListener.onOwnerLost(assignment);
            }
        }
        mReachability
                .takeDueProbes(id -> mServers.containsKey(id) && mayRun(id), ownsRanges, nowNanos)
                .forEach(p -> mCalls.release(p.incarnationId(), p.range(), p.fence()));
    }

    private void onOwnerReturned(String incarnationId, long nowNanos) {
        mLeases.of(incarnationId).forEach(l -> l.onOwnerReturned(nowNanos));
        mHoldListener.onOwnerReturned(incarnationId);
    }

    private void writeNext(long nowNanos) {
        if (mPendingAssignments == null) {
            ImmutableList<Assignment> next = planAssignments(nowNanos);
            if (next.isEmpty() || mTable != null && next.equals(mTable.assignments())) {
                return;
            }
            mPendingAssignments = next;
            mPendingSince = nowNanos;
        }
        mWriteInFlight = true;
        mCalls.write(mPendingAssignments, mStoredRevision);
    }

    /** Processes an accepted write of the table, which is stored at {@code version}. */
    public void onWritten(StoreVersion version, long nowNanos) {
        mWriteInFlight = false;
        if (mStarted && mPendingAssignments != null) {
            install(RangeTable.of(version, mPendingAssignments), nowNanos);
        }
    }

    /**
     * Processes a rejected write, with the table that the store has in place of the expected one.
     */
    public void onWriteConflict(RangeTable current, long nowNanos) {
        mWriteInFlight = false;
        if (!mStarted) {
            return;
        }
        // An earlier attempt of this write, whose answer was lost, may have changed the table.
        if (mPendingAssignments != null
                && current.version().epoch() == mEpoch
                && current.assignments()
                        .equals(
                                RangeTable.of(current.version(), mPendingAssignments)
                                        .assignments())) {
            install(current, nowNanos);
        } else {
            onOtherTable(current, nowNanos);
        }
    }

    /** Processes a table in the store that does not come from this term. */
    private void onOtherTable(RangeTable current, long nowNanos) {
        if (mTable != null && current.version().epoch() < mEpoch) {
            // A restore brought the table back, or a write from before the restore was late. This
            // coordinator knows what was granted since and replaces it.
            mPendingAssignments = null;
            mNeedsNewFences = true;
            mStoredRevision = current.version().revision();
        } else {
            mHoldBounds.setFormerCoordinatorsUnknown();
            mLeases.setFormerReport(Optional.empty());
            beginTerm(Optional.of(current), nowNanos);
        }
    }

    /** Processes a write without an answer. It is retried with the same content. */
    public void onWriteUnknown(long nowNanos) {
        mWriteInFlight = false;
        mNextWriteAt = nowNanos + RETRY_DELAY_NANOS;
    }

    private void install(RangeTable table, long nowNanos) {
        Optional<RangeTable> former = mFormerTable;
        mFormerTable = Optional.empty();
        mPendingAssignments = null;
        mNeedsNewFences = false;
        mTable = table;
        mStoredRevision = table.version().revision();
        mLeases.install(table, former, nowNanos);
    }

    private void sendDueCalls(Lease lease, long nowNanos) {
        Assignment assignment = lease.assignment();
        lease.removeEndedHolders(mTerminated, nowNanos)
                .forEach(
                        (incarnationId, end) ->
                                mHoldListener.onHoldEnded(incarnationId, assignment, end));
        for (String incarnationId : lease.takeDueReleases(mCallPace::tryRelease, nowNanos)) {
            mCalls.release(incarnationId, assignment.range(), assignment.fence());
        }
        if (lease.isGrantDue(nowNanos)
                && mayRun(assignment.owner())
                && !mReachability.isLost(assignment.owner())
                && (isUnchangedByPendingWrite(assignment)
                        || lease.mayBeHeld() && isRenewalUrgent(nowNanos))) {
            long hold = lease.holdNanos(mHoldBounds.holdNanos(nowNanos), nowNanos);
            if (!lease.isUsefulHold(hold) || !mCallPace.tryGrant()) {
                return;
            }
            lease.onGrantSent(
                    nowNanos,
                    HoldBounds.maxHoldFromArrival(hold),
                    HoldBounds.latestHoldEnd(nowNanos, hold));
            mCalls.grant(assignment, hold, lease.handover());
        }
    }

    /**
     * Reports whether grants are renewed although the pending write changes their assignment. The
     * next owner would have to wait for the hold of a renewal whose answer is not known when the
     * write is accepted, so renewals wait for as long as a write usually takes.
     */
    private boolean isRenewalUrgent(long nowNanos) {
        return nowNanos - mPendingSince >= RENEWAL_DEFERRAL_NANOS;
    }

    /**
     * Reports whether the pending write, if any, leaves the assignment unchanged. A write that
     * changes it names the owner as a former holder only if it could hold the range when the write
     * was planned. The next owner would not wait for the end of a hold that begins later.
     */
    private boolean isUnchangedByPendingWrite(Assignment assignment) {
        return mPendingAssignments == null
                || mPendingAssignments.stream()
                        .anyMatch(
                                a ->
                                        a.fence() == assignment.fence()
                                                && a.range().equals(assignment.range()));
    }

    /** Returns the granted assignments of which the table still lists previous holders. */
    public ImmutableList<Assignment> grantedWhileMoving() {
        return mLeases.all().stream()
                .filter(l -> l.isGranted() && l.assignment().isMoving())
                .map(Lease::assignment)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the ranges without an owner whose next one is known to come later. */
    public ImmutableList<NextOwner> nextOwners(long nowNanos) {
        return !mLeases.isEmpty() || mTable == null
                ? NextOwner.ofLeases(mLeases.all(), mTerminated, nowNanos)
                : NextOwner.ofTable(mTable, mServers.keySet(), mNextWriteAt, nowNanos);
    }

    /** Records that the owner accepted a grant. */
    public void onGranted(Assignment assignment, long nowNanos) {
        mReachability.onAnswered(assignment.owner());
        mLeases.find(assignment).ifPresent(l -> onGranted(l, nowNanos));
    }

    private void onGranted(Lease lease, long nowNanos) {
        long lostSince = lease.onGrantAccepted(nowNanos, nowNanos + RENEWAL_INTERVAL_NANOS);
        if (lostSince != Lease.NEVER) {
            mHoldListener.onRecovered(lease.assignment(), nowNanos - lostSince);
        }
    }

    /** Records that the owner rejected a grant because it has seen a higher fence. */
    public void onGrantFenced(Assignment assignment) {
        mReachability.onAnswered(assignment.owner());
        mLeases.find(assignment).ifPresent(Lease::onFenced);
    }

    /** Records that a grant could not be sent, so that its hold never begins. */
    public void onGrantNotSent(Assignment assignment, long nowNanos) {
        mReachability.onGrantFailed(assignment.owner());
        mLeases.find(assignment).ifPresent(l -> l.onGrantNotSent(nowNanos + RETRY_DELAY_NANOS));
    }

    /** Records that a grant got no answer. */
    public void onGrantUnknown(Assignment assignment, long nowNanos) {
        mReachability.onGrantFailed(assignment.owner());
        mLeases.find(assignment)
                .ifPresent(
                        l ->
                                l.onGrantUnknown(
                                        nowNanos + HoldBounds.MAX_TRANSIT_NANOS,
                                        nowNanos + RETRY_DELAY_NANOS));
    }

    /** Records that an incarnation has released a range and has no work on it any more. */
    public void onReleased(
            String incarnationId, KeyRange range, long fence, Optional<String> handover) {
        mReachability.onAnswered(incarnationId);
        mLeases.find(range, fence).ifPresent(l -> l.onReleased(incarnationId, handover));
    }

    /** Records that a release got no answer. */
    public void onReleaseUnknown(String incarnationId, KeyRange range, long fence, long nowNanos) {
        mLeases.find(range, fence)
                .ifPresent(l -> l.onReleaseUnknown(incarnationId, nowNanos + RETRY_DELAY_NANOS));
    }

    private ImmutableList<Assignment> planAssignments(long nowNanos) {
        if (mTable == null) {
            return RangePlanner.divideEvenly(mServers.values());
        }
        List<RangeServer> servers =
                mServers.values().stream()
                        .filter(s -> mayRun(s.incarnationId()))
                        .map(s -> mReachability.restrict(s, nowNanos))
                        .toList();
        mLoad.advance(nowNanos);
        RangePlanner planner = RangePlanner.create(servers, mLoad);
        if (mTable.assignments().stream().anyMatch(a -> !canOwnRanges(a.owner()))) {
            planner.updateLoads(mTable.assignments());
        }
        List<Assignment> next = new ArrayList<>();
        for (Assignment assignment : mTable.assignments()) {
            next.addAll(replan(assignment, planner, nowNanos));
        }
        if (!mNeedsNewFences && !mLossesHeldBack && nowNanos >= mNextLoadMoveAt) {
            mNextLoadMoveAt = nowNanos + LOAD_MOVE_INTERVAL_NANOS;
            moveForLoad(next, planner, nowNanos);
        }
        return ImmutableList.copyOf(next);
    }

    private List<Assignment> replan(Assignment assignment, RangePlanner planner, long nowNanos) {
        Lease lease = mLeases.find(assignment).orElse(null);
        if (!canOwnRanges(assignment.owner())
                && !mustSeeNewFence(assignment, lease, nowNanos)
                && (lease == null || !lease.isAnswerExpected(nowNanos))) {
            List<Assignment> parts =
                    planner.reassign(assignment, possibleHolders(assignment, lease));
            if (!parts.isEmpty()) {
                return parts;
            }
        }
        if (mNeedsNewFences || lease != null && lease.needsNewFence()) {
            return List.of(
                    new Assignment(
                            assignment.range(),
                            assignment.owner(),
                            Assignment.UNSET_FENCE,
                            remainingHolders(assignment, lease)));
        }
        boolean moveCompleted = lease != null && lease.isGranted() && assignment.isMoving();
        return List.of(moveCompleted ? assignment.withPrevious(ImmutableList.of()) : assignment);
    }

    /**
     * Reports whether an owner that is to lose the range is granted it with a fence of this term
     * first, because it then refuses the late grants of former coordinators, so that its release
     * ends its hold.
     */
    private boolean mustSeeNewFence(Assignment assignment, Lease lease, long nowNanos) {
        if (!mayAnswer(assignment.owner())) {
            return false;
        }
        return lease == null
                ? !assignment.isMoving() && nowNanos < mHoldBounds.formerHoldEnd(nowNanos)
                : lease.awaitsNewFence(nowNanos);
    }

    private static ImmutableList<String> remainingHolders(Assignment assignment, Lease lease) {
        return lease == null
                ? assignment.previous()
                : assignment.previous().stream()
                        .filter(lease.holders()::contains)
                        .collect(ImmutableList.toImmutableList());
    }

    private boolean canOwnRanges(String incarnationId) {
        RangeServer server = mServers.get(incarnationId);
        return server != null
                && server.acceptsRanges()
                && mayRun(incarnationId)
                && !mReachability.isLost(incarnationId);
    }

    private boolean mayRun(String incarnationId) {
        return !mTerminated.contains(incarnationId) && !mReplaced.contains(incarnationId);
    }

    /** Returns all incarnations that may hold keys of the range, including the owner. */
    private ImmutableList<String> possibleHolders(Assignment assignment, Lease lease) {
        Set<String> holders = new HashSet<>(assignment.previous());
        if (lease != null) {
            holders.retainAll(lease.holders());
        }
        if (lease == null || lease.mayBeHeld()) {
            holders.add(assignment.owner());
        }
        holders.removeAll(mTerminated);
        return ImmutableList.sortedCopyOf(holders);
    }

    private void moveForLoad(List<Assignment> next, RangePlanner planner, long nowNanos) {
        long movingCount =
                next.stream()
                        .filter(Assignment::isMoving)
                        .filter(a -> !isWaitingForHold(a, nowNanos))
                        .count();
        long maxMoving =
                Math.max(MIN_CONCURRENT_MOVES, (long) (mServers.size() * MAX_MOVING_SHARE));
        while (movingCount < maxMoving) {
            planner.updateLoads(next);
            List<Assignment> movable = next.stream().filter(this::isMovable).toList();
            Optional<RangeMove> move = planner.findLoadMove(movable);
            if (move.isEmpty()) {
                return;
            }
            move.get().applyTo(next);
            movingCount++;
        }
    }

    /**
     * Reports whether a range moves only when a hold has run out that this coordinator did not
     * choose to wait for, which can take longer than the loads stay as they are. Such moves are not
     * counted as concurrent ones.
     */
    private boolean isWaitingForHold(Assignment assignment, long nowNanos) {
        return mLeases.find(assignment)
                .map(l -> l.isWaitingForHold(this::mayAnswer, nowNanos))
                .orElse(false);
    }

    private boolean mayAnswer(String incarnationId) {
        return mServers.containsKey(incarnationId)
                && mayRun(incarnationId)
                && !mReachability.isLost(incarnationId);
    }

    private boolean isMovable(Assignment assignment) {
        return !assignment.isMoving()
                && assignment.fence() != Assignment.UNSET_FENCE
                && mLeases.find(assignment)
                        .map(l -> l.isGranted() && !l.isGrantInFlight())
                        .orElse(false);
    }
}

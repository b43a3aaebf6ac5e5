package org.geraniumusher.keyrange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * Tracks the grants of one assignment and the holds of its former holders. Times are in
 * nanoseconds. Not thread-safe.
 *
 * <p>Invariant: a grant is due only when no other incarnation may still hold keys of the range.
 */
final class Lease {
    /**
     * Shortest hold that is granted again after a failure; a shorter one would run out before it is
     * renewed.
     */
    private static final long MIN_RETRY_HOLD_NANOS = 300_000_000L;

    /** Time for which grants fail before an owner without a hold counts as lost. */
    private static final long MIN_FAILURE_NANOS = 1_000_000_000L;

    /** Time within which a server that answers at all usually answers a grant. */
    private static final long GRANT_ANSWER_NANOS = 100_000_000L;

    /** A time that stands for none. */
    static final long NEVER = Long.MAX_VALUE;

    private final Map<String, FormerHolder> mHolders = new HashMap<>();
    private Assignment mAssignment;
    private boolean mGranted;
    private boolean mGrantInFlight;
    private long mNextGrantAt;

    /** Time by which the holds of all grants with a known result have ended. */
    private long mHoldEnd;

    /** Time by which the hold of the grant in flight has ended if no answer to it arrives. */
    private long mInFlightHoldEnd;

    private long mInFlightHoldNanos;
    private long mGrantSentAt;

    /** Time until which a grant with the fence of this lease may take effect without an answer. */
    private long mLateGrantUntil;

    /**
     * Time until which a grant with a lower fence may take effect without an answer, or 0 if the
     * owner has accepted the fence of this lease, after which it refuses lower ones.
     */
    private long mLowerFenceUntil;

    private boolean mGrantFailed;

    /** When the first grant was sent that failed since the last one was accepted, or NEVER. */
    private long mFailingSince = NEVER;

    /** Time by which the holds of grants that are sent again after a failure must have ended. */
    private long mRetryHoldEnd;

    /**
     * When the first grant failed of the loss since which no owner has accepted the range, or
     * NEVER.
     */
    private long mLostSince = NEVER;

    private Optional<String> mHandover = Optional.empty();
    private boolean mFenced;

    Lease(Assignment assignment, long nowNanos) {
        mAssignment = assignment;
        mNextGrantAt = nowNanos;
    }

    /** Returns a lease for a part of the range, with the same fence and the state of this lease. */
    Lease partOf(Assignment part, long nowNanos) {
        Lease lease = new Lease(part, nowNanos);
        lease.mGranted = mGranted;
        lease.mHoldEnd = holdEnd();
        lease.mLateGrantUntil = ownLateGrantUntil();
        lease.mLowerFenceUntil = mLowerFenceUntil;
        lease.mNextGrantAt = mNextGrantAt;
        lease.copyFailures(this);
        return lease;
    }

    /**
     * Returns a lease for the same owner and the range or a part of it with a new fence. It has the
     * former holders of this lease and inherits the hold of the owner, which must be granted the
     * range again.
     */
    Lease withNewFence(Assignment part, long nowNanos) {
        Lease lease = new Lease(part, nowNanos);
        lease.mHoldEnd = holdEnd();
        lease.mLowerFenceUntil = lateGrantUntil();
        lease.mHandover = handover();
        lease.copyFailures(this);
        mHolders.forEach(
                (incarnationId, holder) ->
                        lease.mHolders.put(incarnationId, holder.withoutReleaseInFlight()));
        return lease;
    }

    private void copyFailures(Lease other) {
        mFailingSince = other.mFailingSince;
        mRetryHoldEnd = other.mRetryHoldEnd;
        mLostSince = other.mLostSince;
    }

    Assignment assignment() {
        return mAssignment;
    }

    void update(Assignment assignment) {
        mAssignment = assignment;
    }

    boolean isGranted() {
        return mGranted;
    }

    /** Reports whether a grant was sent to which neither an answer nor a failure is known yet. */
    boolean isGrantInFlight() {
        return mGrantInFlight;
    }

    /**
     * Reports whether the answer to a grant is likely to come soon. A move that is planned before
     * it has to wait until the hold of that grant has run out, as its answer is not known then.
     */
    boolean isAnswerExpected(long nowNanos) {
        return mGrantInFlight && nowNanos - mGrantSentAt < GRANT_ANSWER_NANOS;
    }

    /** Reports whether this or a former coordinator may have given the owner a hold. */
    boolean mayBeHeld() {
        return holdEnd() != 0;
    }

    /** Returns the time by which the hold of the owner has ended, 0 if it has none. */
    long holdEnd() {
        return mGrantInFlight ? Math.max(mHoldEnd, mInFlightHoldEnd) : mHoldEnd;
    }

    /** Records a hold of the owner by grants of keys of the range with lower fences. */
    void inheritHold(Hold hold) {
        mHoldEnd = Math.max(mHoldEnd, hold.end());
        mLowerFenceUntil = Math.max(mLowerFenceUntil, hold.lateGrantUntil());
    }

    /**
     * Reports whether the owner has seen a higher fence, so that the assignment needs a new one.
     */
    boolean needsNewFence() {
        return mFenced;
    }

    /** Returns the time until which a grant without an answer may still take effect. */
    private long lateGrantUntil() {
        return Math.max(mLowerFenceUntil, ownLateGrantUntil());
    }

    private long ownLateGrantUntil() {
        return mGrantInFlight ? Math.max(mLateGrantUntil, mInFlightHoldEnd) : mLateGrantUntil;
    }

    /**
     * Reports whether the owner may accept grants with lower fences and its answer to the first one
     * of this lease is still to come.
     */
    boolean awaitsNewFence(long nowNanos) {
        return nowNanos < mLowerFenceUntil && mHolders.isEmpty() && !mGrantFailed && !mFenced;
    }

    /** Reports whether the last grant failed. */
    boolean isFailing() {
        return mFailingSince != NEVER;
    }

    boolean isGrantDue(long nowNanos) {
        return mHolders.isEmpty() && !mGrantInFlight && !mFenced && nowNanos >= mNextGrantAt;
    }

    /**
     * Returns the hold of a grant that is sent now. Retries after a failure do not put off the time
     * by which the owner holds nothing.
     */
    long holdNanos(long fullHoldNanos, long nowNanos) {
        return mFailingSince == NEVER
                ? fullHoldNanos
                : Math.min(fullHoldNanos, HoldBounds.holdEndingBy(mRetryHoldEnd, nowNanos));
    }

    /** Reports whether a grant for such a hold can still be renewed in time. */
    boolean isUsefulHold(long holdNanos) {
        return mFailingSince == NEVER || holdNanos >= MIN_RETRY_HOLD_NANOS;
    }

    /** Reports whether the grants to the owner failed until its hold ran out. */
    boolean isOwnerLost(long nowNanos) {
        return !mGrantInFlight && hasFailedLong(mFailingSince, nowNanos) && nowNanos >= mHoldEnd;
    }

    /**
     * Returns a time before which no other incarnation can be granted the range as long as those
     * that are silent stay so. It is in the past if nothing is known.
     *
     * @param terminated incarnations that hold nothing any more
     */
    long nextOwnerNotBefore(Set<String> terminated, long nowNanos) {
        if (!mHolders.isEmpty()) {
            return mHolders.entrySet().stream()
                    .filter(e -> !terminated.contains(e.getKey()))
                    .mapToLong(e -> e.getValue().notEndedBefore(nowNanos))
                    .max()
                    .orElse(nowNanos);
        }
        boolean isOwnerSilent =
                hasFailedLong(mFailingSince, nowNanos) && !terminated.contains(mAssignment.owner());
        return isOwnerSilent ? mHoldEnd : nowNanos;
    }

    private static boolean hasFailedLong(long failingSince, long nowNanos) {
        return failingSince != NEVER && nowNanos - failingSince >= MIN_FAILURE_NANOS;
    }

    /** Processes an answer of an owner that was lost, which is granted the range again. */
    void onOwnerReturned(long nowNanos) {
        mLostSince = lostSince();
        mFailingSince = NEVER;
        renewOnNextTick(nowNanos);
    }

    /**
     * Returns when the first grant failed of the loss since which no owner has accepted the range,
     * or of the present failures; {@link #NEVER} if there is none.
     */
    long lostSince() {
        return Math.min(mLostSince, mFailingSince);
    }

    /** Records that the range lost its owner. */
    void setLostSince(long nanos) {
        mLostSince = nanos;
    }

    void renewOnNextTick(long nowNanos) {
        mNextGrantAt = Math.min(mNextGrantAt, nowNanos);
    }

    Optional<String> handover() {
        return mGranted ? Optional.empty() : mHandover;
    }

    /**
     * Records a grant.
     *
     * @param holdNanos upper bound of its hold from the arrival of the call
     * @param holdEnd time by which the hold has ended if no answer arrives
     */
    void onGrantSent(long sentAtNanos, long holdNanos, long holdEnd) {
        mGrantSentAt = sentAtNanos;
        mGrantInFlight = true;
        mInFlightHoldNanos = holdNanos;
        mInFlightHoldEnd = holdEnd;
    }

    /**
     * Records an answer at {@code nowNanos}, before which the grant arrived.
     *
     * @return when the first grant failed of the loss that has ended, or {@link #NEVER}
     */
    long onGrantAccepted(long nowNanos, long nextGrantAt) {
        long lostSince = mLostSince;
        if (mGrantInFlight) {
            mHoldEnd = Math.max(mHoldEnd, nowNanos + mInFlightHoldNanos);
        }
        mGrantInFlight = false;
        mGranted = true;
        mGrantFailed = false;
        mLowerFenceUntil = 0;
        // A grant after a failure has a short hold.
        mNextGrantAt = mFailingSince == NEVER ? nextGrantAt : nowNanos;
        mFailingSince = NEVER;
        mLostSince = NEVER;
        return lostSince;
    }

    void onFenced() {
        mHoldEnd = holdEnd();
        mGrantInFlight = false;
        mFailingSince = NEVER;
        mFenced = true;
    }

    /** Records a grant that never left this daemon. It adds nothing to the hold. */
    void onGrantNotSent(long nextGrantAt) {
        onGrantFailed(nextGrantAt);
    }

    private void onGrantFailed(long nextGrantAt) {
        if (mGrantInFlight && mFailingSince == NEVER) {
            mFailingSince = mGrantSentAt;
            mRetryHoldEnd = holdEnd();
        }
        mGrantInFlight = false;
        mGrantFailed = true;
        mNextGrantAt = nextGrantAt;
    }

    /** Records a grant that was given up and arrives by {@code arrivesBy} if at all. */
    void onGrantUnknown(long arrivesBy, long nextGrantAt) {
        if (mGrantInFlight) {
            long holdEnd = arrivesBy + mInFlightHoldNanos;
            mHoldEnd = Math.max(mHoldEnd, holdEnd);
            mLateGrantUntil = Math.max(mLateGrantUntil, holdEnd);
        }
        onGrantFailed(nextGrantAt);
    }

    /**
     * Adds an incarnation that may still hold keys of the range.
     *
     * @param ofFormerTerm whether only former coordinators may have granted the hold
     */
    void addHolder(String incarnationId, Hold hold, boolean ofFormerTerm) {
        mHolders.put(incarnationId, new FormerHolder(hold, ofFormerTerm));
    }

    /**
     * Returns the bounds of the hold of an incarnation on keys of the range, if it may have one.
     */
    Optional<Hold> holdOf(String incarnationId) {
        if (mAssignment.owner().equals(incarnationId)) {
            return Optional.of(new Hold(holdEnd(), lateGrantUntil(), mFailingSince));
        }
        return Optional.ofNullable(mHolders.get(incarnationId)).map(FormerHolder::hold);
    }

    /** Returns the bounds of all holds on the range, by incarnation. */
    Map<String, Hold> holds() {
        Map<String, Hold> holds = new HashMap<>();
        mHolders.forEach((incarnationId, holder) -> holds.put(incarnationId, holder.latestHold()));
        if (mayBeHeld()) {
            holds.merge(
                    mAssignment.owner(), new Hold(holdEnd(), lateGrantUntil(), NEVER), Hold::max);
        }
        return holds;
    }

    /** Returns the other incarnations that may still hold keys of the range. */
    Set<String> holders() {
        return mHolders.keySet();
    }

    /**
     * Reports whether a holder is waited for whose hold no release can end now, as it does not
     * answer or former coordinators may have sent it grants.
     *
     * @param mayAnswer whether an incarnation may answer a release
     */
    boolean isWaitingForHold(Predicate<String> mayAnswer, long nowNanos) {
        return mHolders.entrySet().stream()
                .anyMatch(
                        e ->
                                !mayAnswer.test(e.getKey())
                                        || e.getValue().mOfFormerTerm
                                                && nowNanos < e.getValue().mHold.lateGrantUntil);
    }

    /** Removes the holders that cannot hold keys any more, and returns them with the reason. */
    Map<String, HoldEnd> removeEndedHolders(Set<String> terminated, long nowNanos) {
        Map<String, HoldEnd> ended = new HashMap<>();
        mHolders.forEach(
                (incarnationId, holder) -> {
                    if (terminated.contains(incarnationId)) {
                        ended.put(incarnationId, HoldEnd.TERMINATED);
                    } else {
                        holder.endAt(nowNanos).ifPresent(end -> ended.put(incarnationId, end));
                    }
                });
        mHolders.keySet().removeAll(ended.keySet());
        return ended;
    }

    /**
     * Returns the holders to which a release must be sent now, and marks their releases as in
     * flight.
     *
     * @param mayCall reports whether one more call may be sent now, and counts it
     */
    List<String> takeDueReleases(BooleanSupplier mayCall, long nowNanos) {
        List<String> due = new ArrayList<>();
        mHolders.forEach(
                (incarnationId, holder) -> {
                    if (!holder.mReleased
                            && !holder.mReleaseInFlight
                            && nowNanos >= holder.mNextReleaseAt
                            && mayCall.getAsBoolean()) {
                        holder.mReleaseInFlight = true;
                        due.add(incarnationId);
                    }
                });
        return due;
    }

    void onReleased(String incarnationId, Optional<String> handover) {
        FormerHolder holder = mHolders.get(incarnationId);
        if (holder != null) {
            holder.mReleaseInFlight = false;
            holder.mReleased = true;
            holder.mFailingSince = NEVER;
            mHandover = handover;
        }
    }

    void onReleaseUnknown(String incarnationId, long nextReleaseAt) {
        FormerHolder holder = mHolders.get(incarnationId);
        if (holder != null) {
            holder.mReleaseInFlight = false;
            holder.mNextReleaseAt = nextReleaseAt;
        }
    }

    /**
     * Bounds the hold of an incarnation on a range, in nanoseconds.
     *
     * @param end time by which the hold has run out in any case
     * @param lateGrantUntil time until which a grant without an answer may still take effect
     * @param failingSince when the first grant failed since the last answer, or NEVER
     */
    record Hold(long end, long lateGrantUntil, long failingSince) {
        /** A hold that has ended. */
        static final Hold NONE = new Hold(0, 0, NEVER);

        /** Returns a hold whose last grant may be one without an answer. */
        static Hold withLateGrants(long end) {
            return new Hold(end, end, NEVER);
        }

        Hold max(Hold other) {
            return new Hold(
                    Math.max(end, other.end),
                    Math.max(lateGrantUntil, other.lateGrantUntil),
                    Math.max(failingSince, other.failingSince));
        }
    }

    /**
     * An incarnation that may still hold keys. Its hold ends with a release, unless a grant without
     * an answer may still take effect.
     */
    private static final class FormerHolder {
        private final Hold mHold;
        private final boolean mOfFormerTerm;
        private boolean mReleaseInFlight;
        private boolean mReleased;
        private long mNextReleaseAt = Long.MIN_VALUE;

        /**
         * When the first grant failed since the last answer, or NEVER. A release without an answer
         * proves nothing, as a server answers it when its work on the range is done.
         */
        private long mFailingSince;

        FormerHolder(Hold hold, boolean ofFormerTerm) {
            mHold = hold;
            mOfFormerTerm = ofFormerTerm;
            mFailingSince = hold.failingSince();
        }

        Hold hold() {
            return new Hold(mHold.end, mHold.lateGrantUntil, mFailingSince);
        }

        /** Returns the hold, which a release without late grants has ended. */
        Hold latestHold() {
            return mReleased ? new Hold(mHold.lateGrantUntil, mHold.lateGrantUntil, NEVER) : hold();
        }

        FormerHolder withoutReleaseInFlight() {
            FormerHolder copy = new FormerHolder(hold(), mOfFormerTerm);
            copy.mReleased = mReleased;
            return copy;
        }

        /** Returns a time before which the hold does not end as long as the holder is silent. */
        long notEndedBefore(long nowNanos) {
            return hasFailedLong(mFailingSince, nowNanos)
                    ? mHold.end
                    : Math.min(mHold.end, mHold.lateGrantUntil);
        }

        /** Returns why the hold has ended by {@code nowNanos}, or empty if it may last. */
        Optional<HoldEnd> endAt(long nowNanos) {
            if (mReleased && nowNanos >= mHold.lateGrantUntil) {
                return Optional.of(HoldEnd.RELEASED);
            }
            return nowNanos >= mHold.end ? Optional.of(HoldEnd.EXPIRED) : Optional.empty();
        }
    }
}

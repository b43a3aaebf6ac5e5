package org.geraniumusher.keyrange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Follows the grants of one assignment. Confined to its coordinator.
 *
 * <p>Invariant: a grant is due only when no other life may still hold keys of the range.
 */
final class Lease {
    private final Map<String, FormerHolder> mHolders = new HashMap<>();
    private Assignment mAssignment;
    private boolean mGranted;
    private boolean mSent;
    private boolean mCalling;
    private long mNextCall;
    private long mHoldUntil;
    private long mDoubtUntil;
    private Optional<String> mHandover = Optional.empty();
    private boolean mFenced;

    Lease(Assignment assignment, long nowNanos) {
        mAssignment = assignment;
        mNextCall = nowNanos;
    }

    /** Returns a lease for a part of the range, with the same fence and the same history. */
    Lease partOf(Assignment part, long nowNanos) {
        Lease lease = new Lease(part, nowNanos);
        lease.mGranted = mGranted;
        lease.mSent = mSent;
        lease.mHoldUntil = mHoldUntil;
        lease.mDoubtUntil = doubtUntil(nowNanos);
        lease.mNextCall = mNextCall;
        return lease;
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

    /** Reports whether this coordinator has sent a grant to the owner. */
    boolean isSent() {
        return mSent;
    }

    /** Reports whether the owner may hold the range because somebody sent a grant to it. */
    boolean mayBeHeld() {
        return mHoldUntil != 0;
    }

    /** Notes that a former coordinator may have granted the owner the range until then. */
    void inheritHold(long holdUntil) {
        mHoldUntil = Math.max(mHoldUntil, holdUntil);
    }

    /** Reports whether the server has seen a higher fence, so that a new one is needed. */
    boolean needsNewFence() {
        return mFenced;
    }

    /** Returns the time until which a grant that got no answer may still take effect. */
    private long doubtUntil(long nowNanos) {
        return mCalling ? Math.max(mDoubtUntil, mHoldUntil) : mDoubtUntil;
    }

    boolean isGrantDue(long nowNanos) {
        return mHolders.isEmpty() && !mCalling && !mFenced && nowNanos >= mNextCall;
    }

    void callSoon(long nowNanos) {
        mNextCall = Math.min(mNextCall, nowNanos);
    }

    Optional<String> handover() {
        return mGranted ? Optional.empty() : mHandover;
    }

    void onSent(long holdUntil) {
        mCalling = true;
        mSent = true;
        mHoldUntil = Math.max(mHoldUntil, holdUntil);
    }

    void onAccepted(long nextCall) {
        mCalling = false;
        mGranted = true;
        mNextCall = nextCall;
    }

    void onFenced() {
        mCalling = false;
        mFenced = true;
    }

    void onUnknown(long nextCall) {
        mCalling = false;
        mDoubtUntil = mHoldUntil;
        mNextCall = nextCall;
    }

    /** Adds a life that may hold keys until {@code until}, and may get late grants until then. */
    void addHolder(String life, Hold hold) {
        mHolders.put(life, new FormerHolder(hold));
    }

    /** Returns what is known of the hold of another life on keys of the range. */
    Optional<Hold> holdOf(String life, long nowNanos) {
        if (mAssignment.owner().equals(life)) {
            return Optional.of(new Hold(mHoldUntil, doubtUntil(nowNanos)));
        }
        return Optional.ofNullable(mHolders.get(life)).map(h -> h.mHold);
    }

    /** Returns the other lives that may still hold keys of the range. */
    Set<String> holders() {
        return mHolders.keySet();
    }

    /** Forgets lives that cannot hold keys any more. */
    void dropEnded(Set<String> gone, long nowNanos) {
        mHolders.entrySet()
                .removeIf(e -> gone.contains(e.getKey()) || e.getValue().hasEnded(nowNanos));
    }

    /** Returns the lives to which a release must be sent now. */
    List<String> takeDueReleases(long nowNanos) {
        List<String> due = new ArrayList<>();
        mHolders.forEach(
                (life, holder) -> {
                    if (!holder.mReleased && !holder.mCalling && nowNanos >= holder.mNextCall) {
                        holder.mCalling = true;
                        due.add(life);
                    }
                });
        return due;
    }

    void onReleased(String life, Optional<String> handover) {
        FormerHolder holder = mHolders.get(life);
        if (holder != null) {
            holder.mCalling = false;
            holder.mReleased = true;
            mHandover = handover;
        }
    }

    void onReleaseUnknown(String life, long nextCall) {
        FormerHolder holder = mHolders.get(life);
        if (holder != null) {
            holder.mCalling = false;
            holder.mNextCall = nextCall;
        }
    }

    /**
     * Bounds the hold of a life on a range.
     *
     * @param until time at which the hold has run out in any case
     * @param doubtUntil time until which a grant without an answer may still take effect
     */
    record Hold(long until, long doubtUntil) {
        Hold max(Hold other) {
            return new Hold(Math.max(until, other.until), Math.max(doubtUntil, other.doubtUntil));
        }
    }

    /** A life that may still hold keys. A release ends its hold, unless a grant is in doubt. */
    private static final class FormerHolder {
        private final Hold mHold;
        private boolean mCalling;
        private boolean mReleased;
        private long mNextCall = Long.MIN_VALUE;

        FormerHolder(Hold hold) {
            mHold = hold;
        }

        boolean hasEnded(long nowNanos) {
            return nowNanos >= mHold.until || mReleased && nowNanos >= mHold.doubtUntil;
        }
    }
}

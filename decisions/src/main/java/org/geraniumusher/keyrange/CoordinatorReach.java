package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableSet;

import java.util.Set;

/**
 * Decides whether servers that the coordinator does not reach are lost or the coordinator itself is
 * cut off. When at least half of the servers fail, a few peers are asked how many of all servers
 * they reach, and the coordinator counts that for itself in the same way, so that servers which
 * accept connections and answer nothing are no reason to resign. It resigns if a peer reaches
 * clearly more servers than itself.
 *
 * <p>Invariants: losses of servers are held back only while an inquiry or a resignation is pending,
 * which ends with its time limit at the latest. The pause after a resignation grows with each one
 * that follows soon, so that a coordinator without a better successor is not lost time and again.
 *
 * <p>All times are in nanoseconds. Not thread-safe.
 */
public final class CoordinatorReach {
    /** Time after which an inquiry is over, with the answers that have come until then. */
    public static final long INQUIRY_LIMIT_NANOS = 1_000_000_000L;

    /** Time for which a coordinator that has resigned does not stand for election. */
    public static final long ABSTENTION_NANOS = 5_000_000_000L;

    /** A single server that fails says nothing about the coordinator. */
    private static final int MIN_FAILING = 2;

    /**
     * Number of servers that a peer must reach beyond this daemon, so that a lost packet does not
     * make the difference. One is enough for a daemon that reaches none.
     */
    private static final int MIN_GAIN = 2;

    /** The same as a share of the failing servers. */
    private static final double MIN_GAIN_SHARE = 0.25;

    /** Interval between inquiries while the same servers fail. */
    private static final long REPEAT_NANOS = 5_000_000_000L;

    /** Interval between inquiries while more servers fail than at the last one. */
    private static final long MIN_INTERVAL_NANOS = 2_000_000_000L;

    /** Time within which a resignation takes place, or not at all. */
    private static final long RESIGNATION_LIMIT_NANOS = 2_000_000_000L;

    private static final long MIN_PAUSE_NANOS = 20_000_000_000L;
    private static final long MAX_PAUSE_NANOS = 320_000_000_000L;

    private enum Phase {
        IDLE,
        ASKING,
        RESIGNING
    }

    private Phase mPhase = Phase.IDLE;
    private long mPhaseEndsAt;
    private long mInquiry;
    private long mInquiryBegunAt = Long.MIN_VALUE / 2;

    /** The servers that failed when the last inquiry began. */
    private ImmutableSet<String> mFailing = ImmutableSet.of();

    private long mNextResignationAt = Long.MIN_VALUE;
    private long mPauseNanos;

    /**
     * Reports whether an inquiry is due, and counts it as begun.
     *
     * @param serverCount number of servers of keyed services that are listed
     * @param failing those of them whose last grant failed
     */
    public boolean beginInquiryIfDue(int serverCount, Set<String> failing, long nowNanos) {
        endPhaseIfOver(nowNanos);
        boolean isSuspicious = failing.size() >= MIN_FAILING && 2 * failing.size() >= serverCount;
        long interval = mFailing.containsAll(failing) ? REPEAT_NANOS : MIN_INTERVAL_NANOS;
        boolean isDue = nowNanos - mInquiryBegunAt >= interval;
        if (mPhase != Phase.IDLE || !isSuspicious || !isDue || nowNanos < mNextResignationAt) {
            return false;
        }
        mInquiry++;
        mFailing = ImmutableSet.copyOf(failing);
        mPhase = Phase.ASKING;
        mPhaseEndsAt = nowNanos + INQUIRY_LIMIT_NANOS;
        mInquiryBegunAt = nowNanos;
        return true;
    }

    /** Returns the number of the last inquiry, by which its answers are told from late ones. */
    public long inquiry() {
        return mInquiry;
    }

    /**
     * Ends an inquiry. Does nothing if it is over already.
     *
     * @param reachedHere number of servers that this daemon reaches
     * @param reachedByPeer number of servers that the best peer reaches, 0 without an answer
     */
    public void onInquiryEnded(long inquiry, int reachedHere, int reachedByPeer, long nowNanos) {
        checkArgument(reachedHere >= 0 && reachedByPeer >= 0);
        endPhaseIfOver(nowNanos);
        if (mPhase != Phase.ASKING || inquiry != mInquiry) {
            return;
        }
        double minGain =
                reachedHere == 0 ? 1 : Math.max(MIN_GAIN, MIN_GAIN_SHARE * mFailing.size());
        if (reachedByPeer - reachedHere >= minGain) {
            mPhase = Phase.RESIGNING;
            mPhaseEndsAt = nowNanos + RESIGNATION_LIMIT_NANOS;
        } else {
            mPhase = Phase.IDLE;
        }
    }

    /** Reports whether failing servers must not be taken for lost now. */
    public boolean holdsBackLosses(long nowNanos) {
        endPhaseIfOver(nowNanos);
        return mPhase != Phase.IDLE;
    }

    /** Reports whether the coordinator should resign as soon as it can. */
    public boolean shouldResign(long nowNanos) {
        endPhaseIfOver(nowNanos);
        return mPhase == Phase.RESIGNING;
    }

    /** Records that the coordinator has resigned. */
    public void onResigned(long nowNanos) {
        boolean isRepeated = mPauseNanos > 0 && nowNanos - mNextResignationAt < MAX_PAUSE_NANOS;
        mPauseNanos = isRepeated ? Math.min(MAX_PAUSE_NANOS, 2 * mPauseNanos) : MIN_PAUSE_NANOS;
        mNextResignationAt = nowNanos + mPauseNanos;
        mPhase = Phase.IDLE;
    }

    /** Records that this daemon does not coordinate now. */
    public void onTermEnded() {
        mPhase = Phase.IDLE;
    }

    private void endPhaseIfOver(long nowNanos) {
        if (mPhase != Phase.IDLE && nowNanos >= mPhaseEndsAt) {
            mPhase = Phase.IDLE;
        }
    }
}

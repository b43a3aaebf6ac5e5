package org.geraniumusher.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Limits the slots of a cold server and widens them with the work that it has done.
 *
 * <p>Invariant: the usable slots are between {@code coldSlots} and {@code slots}. Time counts as
 * work in proportion to the running requests, up to {@code coldSlots} of them, so an idle server
 * stays cold. Not thread-safe.
 */
public final class SlowStart {
    /** A restart breaks all connections at once, while single ones also break for other reasons. */
    private static final int RESETS_OF_RESTART = 2;

    private static final long RESET_WINDOW_NANOS = 1_000_000_000L;

    /** A new gateway can't know what its predecessor has in flight for about this long. */
    private static final long TAKEOVER_NANOS = 1_000_000_000L;

    /** A cold server recovers when its load falls; a slow one doesn't within this time. */
    private static final long COLD_RECOVERY_NANOS = 500_000_000L;

    /**
     * The gate sees a request as running while it is still on its way; counting less keeps the gate
     * from believing in more warmth than the server has.
     */
    private static final double WORK_SHARE = 0.9;

    private static final long FAST_RETURN_NANOS = 1_000_000_000L;

    private final WarmUp mWarmUp;
    private final int mSlots;
    private final int mColdSlots;
    private final long mWarmUpNanos;
    private final LatencyStep mStep = new LatencyStep();
    private double mWorkedNanos;
    private long mLastNanos;
    private int mRunning;
    private boolean mTakenOver;
    private long mTakenOverUntilNanos;
    private boolean mFastReturn;
    private long mStepNanos;
    private int mResets;
    private long mFirstResetNanos;
    private Cause mCause = Cause.FIRST_USE;

    private SlowStart(WarmUp warmUp, int slots, int coldSlots, long warmUpNanos, long nowNanos) {
        mWarmUp = warmUp;
        mSlots = slots;
        mColdSlots = coldSlots;
        mWarmUpNanos = warmUpNanos;
        mLastNanos = nowNanos;
    }

    /** Tells why a server counts as cold. */
    public enum Cause {
        /** The router has never used it. */
        FIRST_USE,
        /** It was out of service. */
        RETURN_TO_SERVICE,
        /** It was restarted. */
        NEW_INCARNATION,
        /** Several connections were reset at once. */
        CONNECTION_RESETS,
        /** Its responses became slow and stayed slow. */
        LATENCY_STEP,
        /** It refused a request although the limit was kept. */
        SERVER_REFUSAL
    }

    /** Returns the state of a server that is used for the first time. */
    public static SlowStart create(
            WarmUp warmUp, int slots, int coldSlots, Duration warmUpTime, long nowNanos) {
        checkNotNull(warmUp, "warmUp");
        checkArgument(slots >= 1, "bad slots: %s", slots);
        checkArgument(coldSlots >= 1 && coldSlots <= slots, "bad coldSlots: %s", coldSlots);
        checkArgument(!warmUpTime.isNegative(), "bad warmUpTime: %s", warmUpTime);
        return new SlowStart(warmUp, slots, coldSlots, warmUpTime.toNanos(), nowNanos);
    }

    /** Counts the time since the last call as work of the requests that ran, then notes the new. */
    public void advance(int running, long nowNanos) {
        checkArgument(running >= 0, "bad running: %s", running);
        long elapsed = Math.max(0, nowNanos - mLastNanos);
        double share = WORK_SHARE * Math.min(1, (double) mRunning / mColdSlots);
        double rate = mFastReturn ? Math.max(1, (double) mWarmUpNanos / FAST_RETURN_NANOS) : 1;
        mWorkedNanos = Math.min(mWarmUpNanos, mWorkedNanos + elapsed * share * rate);
        if (mTakenOver && nowNanos - mTakenOverUntilNanos >= 0) {
            mTakenOver = false;
        }
        mLastNanos = Math.max(mLastNanos, nowNanos);
        mRunning = running;
    }

    /** Returns how many requests may run at once. */
    public int usableSlots() {
        if (mTakenOver) {
            return mWarmUp.usableSlots(mColdSlots, mSlots, 0);
        }
        double progress = mWarmUpNanos == 0 ? 1 : mWorkedNanos / mWarmUpNanos;
        return mWarmUp.usableSlots(mColdSlots, mSlots, progress);
    }

    /** Returns whether the server has all its slots. */
    public boolean isWarm() {
        return usableSlots() == mSlots;
    }

    /** Returns why the server was last cold. */
    public Cause cause() {
        return mCause;
    }

    /** Makes the server cold. */
    public void cool(Cause cause) {
        mCause = checkNotNull(cause, "cause");
        mWorkedNanos = 0;
        mFastReturn = false;
        mTakenOver = false;
        if (cause == Cause.NEW_INCARNATION || cause == Cause.CONNECTION_RESETS) {
            mStep.reset();
        }
    }

    /** Starts as the new gateway of a warm server: cold slots for one second, then all. */
    public void takeOverWarm(long nowNanos) {
        mWorkedNanos = mWarmUpNanos;
        mTakenOver = true;
        mTakenOverUntilNanos = nowNanos + TAKEOVER_NANOS;
    }

    /** Takes the latency of a response. */
    public void recordLatency(long latencyNanos, long nowNanos) {
        LatencyStep.Change change = mStep.record(latencyNanos, nowNanos);
        if (change == LatencyStep.Change.STARTED) {
            mStepNanos = nowNanos;
            cool(Cause.LATENCY_STEP);
        } else if (change == LatencyStep.Change.ENDED && wasSlow(nowNanos)) {
            mFastReturn = true;
        }
    }

    /** Takes the reset of a connection; two within a second are a restart. */
    public void recordReset(long nowNanos) {
        if (mResets == 0 || nowNanos - mFirstResetNanos > RESET_WINDOW_NANOS) {
            mResets = 0;
            mFirstResetNanos = nowNanos;
        }
        mResets++;
        if (mResets >= RESETS_OF_RESTART) {
            mResets = 0;
            cool(Cause.CONNECTION_RESETS);
        }
    }

    private boolean wasSlow(long now) {
        return mCause == Cause.LATENCY_STEP && now - mStepNanos > COLD_RECOVERY_NANOS;
    }
}

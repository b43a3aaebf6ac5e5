package org.geraniumusher.admission;

/**
 * Detects a sustained step of the latency of one server against its own past.
 *
 * <p>It counts the share of recent responses slower than one and a half times the baseline, so that
 * a heavy tail is no step. Service times that vary as those in docs/policy.md have a share of 0.15.
 * The baseline is frozen while the share is raised. A step that lasts {@code ACCEPT_NANOS} becomes
 * the new baseline. Not thread-safe.
 */
final class LatencyStep {
    private static final int MIN_SAMPLES = 32;
    private static final double SLOW_FACTOR = 1.5;
    private static final double SHARE_WEIGHT = 1.0 / 32;
    private static final double BASELINE_WEIGHT = 1.0 / 128;
    private static final double START_SHARE = 0.4;
    private static final double FREEZE_SHARE = 0.3;
    private static final double END_SHARE = 0.25;
    private static final long SUSTAINED_NANOS = 400_000_000;
    private static final long ACCEPT_NANOS = 5_000_000_000L;

    private int mSamples;
    private double mBaseline;
    private double mRecent;
    private double mSlowShare;
    private boolean mRaised;
    private long mRaisedNanos;
    private boolean mStepped;

    /** Tells what one response changed. */
    enum Change {
        NONE,
        STARTED,
        ENDED
    }

    /** Takes the latency of one response. */
    Change record(long latencyNanos, long nowNanos) {
        if (mSamples < MIN_SAMPLES) {
            mSamples++;
            mBaseline += (latencyNanos - mBaseline) / mSamples;
            mRecent = mBaseline;
            return Change.NONE;
        }
        boolean slow = latencyNanos > SLOW_FACTOR * mBaseline;
        mSlowShare += ((slow ? 1 : 0) - mSlowShare) * SHARE_WEIGHT;
        mRecent += (latencyNanos - mRecent) * SHARE_WEIGHT;
        if (mSlowShare < FREEZE_SHARE) {
            double clipped = Math.min(latencyNanos, SLOW_FACTOR * mBaseline);
            mBaseline += (clipped - mBaseline) * BASELINE_WEIGHT;
        }
        return mStepped ? whileStepped(nowNanos) : whileNormal(nowNanos);
    }

    /** Forgets the past, for a server that was restarted. */
    void reset() {
        mSamples = 0;
        mBaseline = 0;
        mSlowShare = 0;
        mRaised = false;
        mStepped = false;
    }

    private Change whileNormal(long now) {
        if (mSlowShare < START_SHARE) {
            mRaised = false;
            return Change.NONE;
        }
        if (!mRaised) {
            mRaised = true;
            mRaisedNanos = now;
        }
        if (now - mRaisedNanos < SUSTAINED_NANOS) {
            return Change.NONE;
        }
        mStepped = true;
        return Change.STARTED;
    }

    private Change whileStepped(long now) {
        if (now - mRaisedNanos >= ACCEPT_NANOS) {
            mBaseline = mRecent;
            mSlowShare = 0;
        }
        if (mSlowShare >= END_SHARE) {
            return Change.NONE;
        }
        mStepped = false;
        mRaised = false;
        return Change.ENDED;
    }
}

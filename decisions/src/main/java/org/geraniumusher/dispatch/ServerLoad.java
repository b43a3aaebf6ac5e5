package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Follows the load of one backend server from the reports on its responses and from the requests of
 * this daemon. Not thread-safe.
 *
 * <p>A report counts the requests of all daemons, but only at its moment; the requests that this
 * daemon has sent and that have ended since then correct it.
 */
public final class ServerLoad {
    /**
     * Time in which what a report says of other daemons decays towards the mean of the reports. It
     * is about the time of a request: then those that were counted have ended.
     */
    private static final double REPORT_DECAY_NANOS = 400e6;

    private static final double MEAN_SMOOTHING = 0.1;

    private static final double SMOOTHING = 0.15;

    /** Pause after a request without an answer; doubles with each in a row. */
    private static final long SUSPECT_NANOS = 100_000_000;

    private static final long MAX_SUSPECT_NANOS = 2_000_000_000;
    private static final int MAX_DOUBLINGS = 6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mSlots;
    private int mInFlight;
    private double mReportedOthers;
    private double mMeanOthers;
    private long mReportedAt = Long.MIN_VALUE / 2;
    private double mWorkNanos;
    private double mFailureShare;
    private long mColdUntil = Long.MIN_VALUE / 2;
    private long mSuspectUntil = Long.MIN_VALUE / 2;
    private int mFailuresInRow;
    private final double mFirstColdTokens;
    private double mColdTokens;
    private long mColdTokensAt;

    private ServerLoad(int slots, long defaultWorkNanos, double coldTokens) {
        mSlots = slots;
        mFirstColdTokens = coldTokens;
        mWorkNanos = defaultWorkNanos;
    }

    /**
     * Returns the load of a server that is idle as far as is known.
     *
     * @param coldTokens share of a request that the server may get while cold, at first; a random
     *     one in each daemon keeps the daemons from sending their first requests together
     */
    public static ServerLoad create(int slots, long defaultWorkNanos, double coldTokens) {
        checkArgument(slots > 0, "bad slots: %s", slots);
        checkArgument(coldTokens >= 0 && coldTokens <= 1, "bad tokens: %s", coldTokens);
        return new ServerLoad(slots, defaultWorkNanos, coldTokens);
    }

    /** Counts a request that is sent. */
    public void onSent() {
        mInFlight++;
    }

    /** Takes a report; the request that brought it is still counted as in flight. */
    public void onReport(LoadReport report, long nowNanos) {
        mReportedOthers = Math.max(0, report.running() + report.waiting() - (mInFlight - 1));
        mMeanOthers += MEAN_SMOOTHING * (mReportedOthers - mMeanOthers);
        mReportedAt = nowNanos;
    }

    /** Counts a request that ran and ended after {@code tookNanos}. */
    public void onCompleted(long tookNanos, boolean failed) {
        mInFlight--;
        mFailuresInRow = 0;
        if (!failed) {
            double queueing = Math.max(1, expectedLoad(mReportedAt) / mSlots);
            mWorkNanos += SMOOTHING * (tookNanos / queueing - mWorkNanos);
        }
        mFailureShare += SMOOTHING * ((failed ? 1 : 0) - mFailureShare);
    }

    /** Counts a request that was rejected without having run. */
    public void onRejected() {
        mInFlight--;
        mFailureShare += SMOOTHING * (1 - mFailureShare);
    }

    /** Counts a request without an answer; several in a row make the server suspect for a while. */
    public void onNoAnswer(long nowNanos) {
        mInFlight--;
        mFailureShare += SMOOTHING * (1 - mFailureShare);
        mFailuresInRow++;
        int doublings = Math.min(mFailuresInRow, MAX_DOUBLINGS);
        long pause = Math.min(MAX_SUSPECT_NANOS, SUSPECT_NANOS << doublings);
        mSuspectUntil = nowNanos + pause;
    }

    /** Counts a request that was given up by this side. */
    public void onCancelled() {
        mInFlight--;
    }

    /** Takes the time until which the server is cold. */
    public void onCold(long untilNanos, long nowNanos) {
        if (!isCold(nowNanos)) {
            mColdTokens = mFirstColdTokens;
            mColdTokensAt = nowNanos;
        }
        mColdUntil = untilNanos;
    }

    /** Reports whether the server is cold. */
    public boolean isCold(long nowNanos) {
        return nowNanos < mColdUntil;
    }

    /** Reports whether recent requests got no answer. */
    public boolean isSuspect(long nowNanos) {
        return nowNanos < mSuspectUntil;
    }

    /** Reports whether the server is warm or may get a request while it is cold. */
    public boolean mayAdmit(double coldRate, long nowNanos) {
        if (!isCold(nowNanos)) {
            return true;
        }
        double elapsed = (nowNanos - mColdTokensAt) / NANOS_PER_SECOND;
        mColdTokens = Math.min(1, mColdTokens + elapsed * coldRate);
        mColdTokensAt = nowNanos;
        return mColdTokens >= 1;
    }

    /** Takes one of the requests that a cold server may get; true when the server is warm. */
    public boolean tryAdmit(double coldRate, long nowNanos) {
        boolean admitted = mayAdmit(coldRate, nowNanos);
        if (admitted && isCold(nowNanos)) {
            mColdTokens--;
        }
        return admitted;
    }

    /** Returns the requests of all daemons that are probably at the server. */
    public double expectedLoad(long nowNanos) {
        double weight = Math.exp(-(nowNanos - mReportedAt) / REPORT_DECAY_NANOS);
        return mInFlight + mMeanOthers + weight * (mReportedOthers - mMeanOthers);
    }

    /** Returns the time that a request sent now would probably take, with its wait for a slot. */
    public double expectedNanos(long nowNanos) {
        double ahead = expectedLoad(nowNanos);
        double wait = ahead < mSlots ? 0 : (ahead - mSlots + 1) / mSlots * mWorkNanos;
        return wait + mWorkNanos;
    }

    /** Returns the smoothed share of requests that failed or were rejected. */
    public double failureShare() {
        return mFailureShare;
    }
}

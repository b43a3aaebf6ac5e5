package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.limit.LimitGate;

/**
 * Estimates the load of one backend server from the load reports on its responses and from the
 * requests of this daemon. Not thread-safe.
 *
 * <p>A report counts the requests of all daemons at the moment it was made. Subtracting this
 * daemon's own requests in flight leaves those of the other daemons, an estimate that ages. This
 * daemon's own requests are always counted exactly.
 *
 * <p>A server that has just started is cold for a while and may get only a limited rate of
 * requests, which a token bucket enforces. A server that has not answered recent requests is
 * suspect and gets none for a while.
 */
public final class ServerLoad {
    /**
     * Time constant with which the last reported number of other requests decays towards its mean.
     * It is about the duration of a request, after which the requests that were counted have ended.
     */
    private static final double REPORT_DECAY_NANOS = 400e6;

    /** Weight of a new report in the moving average of other requests. */
    private static final double REPORT_SMOOTHING = 0.1;

    /** Weight of a new request in the moving average of failures. */
    private static final double REQUEST_SMOOTHING = 0.15;

    /**
     * Number of requests that count in the moving average of the service time of this server. The
     * mean of all servers counts as one more.
     */
    private static final double MAX_WEIGHT = 7;

    /**
     * Base of the time for which a server is suspect after a request without an answer. It is
     * doubled for each such request in a row, the first included.
     */
    private static final long BASE_SUSPECT_NANOS = 100_000_000;

    private static final long MAX_SUSPECT_NANOS = 2_000_000_000;
    private static final int MAX_SUSPECT_DOUBLINGS = 6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final int mSlots;
    private int mInFlight;
    private double mReportedOtherRequests;
    private double mMeanOtherRequests;
    private long mReportedAtNanos = Long.MIN_VALUE / 2;
    private final ServiceTimes mServiceTimes;

    /** Moving average of the service times of the completed requests to this server. */
    private double mOwnServiceNanos;

    /** Number of these requests, up to {@link #MAX_WEIGHT}. */
    private double mOwnRequests;

    private double mFailureRate;
    private long mColdUntilNanos = Long.MIN_VALUE / 2;
    private long mSuspectUntilNanos = Long.MIN_VALUE / 2;
    private final StatedNeeds mNeeds;
    private int mUnansweredInRow;
    private final double mInitialColdTokens;
    private double mColdTokens;
    private long mColdTokensAtNanos;

    private ServerLoad(
            int slots, ServiceTimes serviceTimes, double initialColdTokens, StatedNeeds needs) {
        mSlots = slots;
        mInitialColdTokens = initialColdTokens;
        mNeeds = needs;
        mServiceTimes = serviceTimes;
    }

    /**
     * Creates the load of a server that is assumed to be idle.
     *
     * @param slots requests that the server can execute at the same time
     * @param serviceTimes those of all servers of the service, assumed until requests to this one
     *     have completed
     * @param initialColdTokens number of tokens, from 0 to 1, in the bucket when the server turns
     *     cold; a random number in each daemon keeps the daemons from sending their first requests
     *     at the same time
     */
    public static ServerLoad create(
            int slots, ServiceTimes serviceTimes, double initialColdTokens) {
        return create(slots, serviceTimes, initialColdTokens, StatedNeeds.none(0));
    }

    /**
     * Creates the load of a server that is assumed to be idle and has asked for something before.
     *
     * @see #create(int, ServiceTimes, double)
     */
    public static ServerLoad create(
            int slots, ServiceTimes serviceTimes, double initialColdTokens, StatedNeeds needs) {
        checkArgument(slots > 0, "slots is not positive: %s", slots);
        checkNotNull(serviceTimes);
        checkNotNull(needs);
        checkArgument(
                initialColdTokens >= 0 && initialColdTokens <= 1,
                "initialColdTokens is not between 0 and 1: %s",
                initialColdTokens);
        return new ServerLoad(slots, serviceTimes, initialColdTokens, needs);
    }

    /** Records that a request is sent to the server. */
    public void onSent() {
        mInFlight++;
    }

    /** Records a load report; the request whose response carried it must still be in flight. */
    public void onReport(LoadReport report, long nowNanos) {
        mReportedOtherRequests = Math.max(0, report.running() + report.waiting() - (mInFlight - 1));
        mMeanOtherRequests += REPORT_SMOOTHING * (mReportedOtherRequests - mMeanOtherRequests);
        mReportedAtNanos = nowNanos;
    }

    /**
     * Records that a request was executed.
     *
     * @param responseNanos time from sending the request until its response
     * @param failed whether the response reports a failure
     */
    public void onCompleted(long responseNanos, boolean failed) {
        mInFlight--;
        mUnansweredInRow = 0;
        if (!failed) {
            double queueingFactor = Math.max(1, expectedLoad(mReportedAtNanos) / mSlots);
            onServiceTime(responseNanos / queueingFactor);
        }
        mFailureRate += REQUEST_SMOOTHING * ((failed ? 1 : 0) - mFailureRate);
    }

    private void onServiceTime(double nanos) {
        mServiceTimes.add(nanos);
        mOwnRequests = Math.min(MAX_WEIGHT, mOwnRequests + 1);
        mOwnServiceNanos += (nanos - mOwnServiceNanos) / mOwnRequests;
    }

    /** Returns the estimated service time of a request at this server. */
    private double serviceNanos() {
        return (mServiceTimes.meanNanos() + mOwnRequests * mOwnServiceNanos) / (1 + mOwnRequests);
    }

    /** Records that the server rejected a request without executing it. */
    public void onRejected() {
        mInFlight--;
        mFailureRate += REQUEST_SMOOTHING * (1 - mFailureRate);
    }

    /** Records that a request that counted as sent never was, which says nothing of the server. */
    public void onWithdrawn() {
        mInFlight--;
    }

    /** Records that a request got no answer, which makes the server suspect for a while. */
    public void onNoAnswer(long nowNanos) {
        mInFlight--;
        mFailureRate += REQUEST_SMOOTHING * (1 - mFailureRate);
        mUnansweredInRow++;
        int doublings = Math.min(mUnansweredInRow, MAX_SUSPECT_DOUBLINGS);
        long suspectNanos = Math.min(MAX_SUSPECT_NANOS, BASE_SUSPECT_NANOS << doublings);
        mSuspectUntilNanos = nowNanos + suspectNanos;
    }

    /** Ends the suspicion, as it came from a fault between this daemon and all servers. */
    public void endSuspicion() {
        mUnansweredInRow = 0;
        mSuspectUntilNanos = Long.MIN_VALUE / 2;
    }

    /**
     * Records that this daemon cancelled a request. It would have taken longer, so it counts if
     * that is already longer than expected.
     *
     * @param elapsedNanos time since the request was sent
     */
    public void onCancelled(long elapsedNanos) {
        mInFlight--;
        if (elapsedNanos > serviceNanos()) {
            onServiceTime(elapsedNanos);
        }
    }

    /**
     * Sets the time until which the server is cold; a warm server starts with its initial tokens.
     */
    public void setColdUntil(long untilNanos, long nowNanos) {
        if (!isCold(nowNanos)) {
            mColdTokens = mInitialColdTokens;
            mColdTokensAtNanos = nowNanos;
        }
        mColdUntilNanos = untilNanos;
    }

    /** Returns whether the server is still cold. */
    public boolean isCold(long nowNanos) {
        return nowNanos < mColdUntilNanos;
    }

    /** Returns whether the server is suspect because recent requests got no answer. */
    public boolean isSuspect(long nowNanos) {
        return nowNanos < mSuspectUntilNanos;
    }

    /** Returns what the server asked for, which answers change. */
    public StatedNeeds needs() {
        return mNeeds;
    }

    /** Returns the time for which the server wants no requests, which answers change. */
    public ServerPause pause() {
        return mNeeds.pause();
    }

    /** Returns what keeps requests within the limit of the server, which answers change. */
    public LimitGate gate() {
        return mNeeds.gate();
    }

    /** Returns whether the server wants no requests now. */
    public boolean isPaused(long nowNanos) {
        return mNeeds.pause().isActive(nowNanos);
    }

    /** Returns when the server takes requests again, or {@code nowNanos} if it takes them. */
    public long pausedUntil(long nowNanos) {
        return mNeeds.pause().endNanos(nowNanos);
    }

    /**
     * Returns whether the server takes requests, there is a permit if it has a limit, and it is
     * warm or has a token for a request while it is cold.
     *
     * @param coldRequestsPerSecond tokens that a cold server gets per second
     */
    public boolean canAdmit(double coldRequestsPerSecond, long nowNanos) {
        if (isPaused(nowNanos) || !gate().isOpen(nowNanos)) {
            return false;
        }
        if (!isCold(nowNanos)) {
            return true;
        }
        double elapsed = (nowNanos - mColdTokensAtNanos) / NANOS_PER_SECOND;
        mColdTokens = Math.min(1, mColdTokens + elapsed * coldRequestsPerSecond);
        mColdTokensAtNanos = nowNanos;
        return mColdTokens >= 1;
    }

    /**
     * Takes a token if the server is cold and a permit if it has a limit; returns whether it
     * {@linkplain #canAdmit can admit} a request.
     *
     * @param coldRequestsPerSecond tokens that a cold server gets per second
     */
    public boolean tryAdmit(double coldRequestsPerSecond, long nowNanos) {
        boolean admitted = canAdmit(coldRequestsPerSecond, nowNanos);
        if (admitted && isCold(nowNanos)) {
            mColdTokens--;
        }
        if (admitted) {
            gate().tryPass(nowNanos);
        }
        return admitted;
    }

    /** Returns the estimated number of requests of all daemons that the server holds. */
    public double expectedLoad(long nowNanos) {
        double decay = Math.exp(-(nowNanos - mReportedAtNanos) / REPORT_DECAY_NANOS);
        return mInFlight
                + mMeanOtherRequests
                + decay * (mReportedOtherRequests - mMeanOtherRequests);
    }

    /** Returns the estimated response time of a request sent now, in ns, including its queueing. */
    public double expectedResponseNanos(long nowNanos) {
        double load = expectedLoad(nowNanos);
        double queueNanos = load < mSlots ? 0 : (load - mSlots + 1) / mSlots * serviceNanos();
        return queueNanos + serviceNanos();
    }

    /** Returns the moving average of the fraction of requests that did not succeed, from 0 to 1. */
    public double failureRate() {
        return mFailureRate;
    }
}

package org.geraniumusher.choice;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.admission.GateLoad;

/**
 * Holds what one daemon knows of one backend server of an unkeyed service.
 *
 * <p>Three sources, by rank: requests in flight through this daemon, which are exact; the load that
 * the gateway daemon told with its last answer, which counts less with its age; and the load that
 * the server reports, which is late or misleading and only breaks ties. Not thread-safe.
 */
public final class ServerView {
    private static final double LATENCY_WEIGHT = 0.2;

    /** An old answer says little: its part of the load halves in this time. */
    private static final double LOAD_HALF_LIFE_NANOS = 100_000_000;

    /** A server that was avoided for its latency is tried again as the estimate halves. */
    private static final double LATENCY_HALF_LIFE_NANOS = 500_000_000;

    private static final long REPORT_LIFE_NANOS = 1_000_000_000;

    private final String mName;
    private final int mSlots;
    private int mUsableSlots;
    private int mInFlight;
    private long mStartSumNanos;
    private int mOthers;
    private long mLoadNanos;
    private double mLatencyNanos;
    private long mLatencyAtNanos;
    private double mReportedLoad;
    private long mReportedAtNanos;
    private boolean mReported;
    private double mWeight = 1;

    private ServerView(String name, int slots, int usableSlots) {
        mName = name;
        mSlots = slots;
        mUsableSlots = usableSlots;
    }

    /** Returns the view of a server that this daemon has not used yet. */
    public static ServerView create(String name, int slots, int coldSlots) {
        checkNotNull(name, "name");
        checkArgument(slots >= 1, "bad slots of %s: %s", name, slots);
        checkArgument(
                coldSlots >= 1 && coldSlots <= slots, "bad coldSlots of %s: %s", name, coldSlots);
        return new ServerView(name, slots, coldSlots);
    }

    /** Returns the name of the server. */
    public String name() {
        return mName;
    }

    /** Returns the requests in flight through this daemon. */
    public int inFlight() {
        return mInFlight;
    }

    /** Notes that a request was sent towards the server. */
    public void sent(long nowNanos) {
        mInFlight++;
        mStartSumNanos += nowNanos;
    }

    /** Takes the end of a request by cancellation, whose age is a lower bound of its latency. */
    public void cancelled(long ageNanos, long nowNanos) {
        ended(ageNanos, nowNanos);
        double old = answeredNanos(nowNanos);
        if (old > 0 && ageNanos > old) {
            recordLatency(ageNanos, nowNanos);
        }
    }

    /** Takes an answer, with the load that the gateway daemon told. */
    public void answered(long latencyNanos, GateLoad load, long nowNanos) {
        ended(latencyNanos, nowNanos);
        recordLatency(latencyNanos, nowNanos);
        observe(load, nowNanos);
    }

    /** Takes a refusal by the gateway daemon, with its load. */
    public void refused(long ageNanos, GateLoad load, long nowNanos) {
        ended(ageNanos, nowNanos);
        observe(load, nowNanos);
    }

    /** Takes the end of a request without an answer. */
    public void ended(long ageNanos, long nowNanos) {
        checkArgument(ageNanos >= 0, "bad ageNanos: %s", ageNanos);
        checkArgument(mInFlight > 0, "no request in flight to %s", mName);
        mInFlight--;
        mStartSumNanos -= nowNanos - ageNanos;
    }

    /** Takes a load figure from the server itself; larger means busier, the unit is its own. */
    public void reported(double load, long nowNanos) {
        checkArgument(load >= 0, "bad load of %s: %s", mName, load);
        mReportedLoad = load;
        mReportedAtNanos = nowNanos;
        mReported = true;
    }

    /** Sets the share of its normal work that the server gets, between 0 and 1. */
    void setWeight(double weight) {
        checkArgument(weight > 0 && weight <= 1, "bad weight of %s: %s", mName, weight);
        mWeight = weight;
    }

    double weight() {
        return mWeight;
    }

    /** Estimates the share of the usable slots that would be in use after one more request. */
    double utilisation(long nowNanos) {
        double others = mOthers * halved(nowNanos - mLoadNanos, LOAD_HALF_LIFE_NANOS);
        return (mInFlight + others + 1) / mUsableSlots;
    }

    /**
     * Estimates the latency, at least the mean age of the requests in flight, which shows a server
     * that hangs before it answers; 0 when unknown.
     */
    double latencyNanos(long nowNanos) {
        double age = mInFlight == 0 ? 0 : nowNanos - (double) mStartSumNanos / mInFlight;
        return Math.max(age, answeredNanos(nowNanos));
    }

    private double answeredNanos(long nowNanos) {
        return mLatencyNanos * halved(nowNanos - mLatencyAtNanos, LATENCY_HALF_LIFE_NANOS);
    }

    /** Returns the server's own figure, or -1 when there is none of use. */
    double reportedLoad(long nowNanos) {
        boolean fresh = mReported && nowNanos - mReportedAtNanos <= REPORT_LIFE_NANOS;
        return fresh ? mReportedLoad : -1;
    }

    private void recordLatency(long latency, long now) {
        double old = answeredNanos(now);
        mLatencyNanos = old == 0 ? latency : old + (latency - old) * LATENCY_WEIGHT;
        mLatencyAtNanos = now;
    }

    private void observe(GateLoad load, long now) {
        checkNotNull(load, "load");
        mOthers = Math.max(0, load.running() + load.queued() - mInFlight);
        mUsableSlots = Math.min(mSlots, load.usableSlots());
        mLoadNanos = now;
    }

    private static double halved(long age, double halfLife) {
        return Math.pow(0.5, Math.max(0, age) / halfLife);
    }
}

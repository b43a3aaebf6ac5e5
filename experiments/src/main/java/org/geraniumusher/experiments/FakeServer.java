package org.geraniumusher.experiments;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Models a backend server: six slots, service times around 6 ms with a tail, a cold capacity that
 * grows with work, slow moments and a process that can stop.
 *
 * <p>More requests than the server bears make all slower, in proportion; more than its slots are
 * refused, "not run". Not thread-safe.
 */
final class FakeServer {
    static final int SLOTS = 6;
    static final int COLD_SLOTS = 2;
    static final long WARM_UP_NANOS = 10_000_000_000L;
    static final double MEAN_SERVICE_NANOS = 5.86e6;

    /** Body: lognormal with a median of 5 ms; tail: one in fifty takes four times as long. */
    private static final double MEDIAN_NANOS = 5e6;

    private static final double SIGMA = 0.45;
    private static final double TAIL_SHARE = 0.02;
    private static final double TAIL_FACTOR = 4;

    private final EventQueue mEvents;
    private final SplittableRandom mRandom;
    private final Map<Long, Listener> mRuns = new HashMap<>();
    private double mWorkedNanos = WARM_UP_NANOS;
    private long mLastNanos;
    private double mSlowFactor = 1;
    private double mLargestExcess;
    private long mBusyNanos;
    private long mStarted;
    private boolean mUp = true;

    /** Receives the end of a request. */
    interface Listener {
        void refused();

        void ended();

        void lost();
    }

    FakeServer(EventQueue events, SplittableRandom random) {
        mEvents = events;
        mRandom = random;
    }

    void start(long id, Listener listener) {
        account();
        if (!mUp || mRuns.size() >= SLOTS) {
            listener.refused();
            return;
        }
        mRuns.put(id, listener);
        mStarted++;
        double excess = (double) mRuns.size() / bearable();
        mLargestExcess = Math.max(mLargestExcess, excess);
        double nanos = serviceNanos() * mSlowFactor * Math.max(1, excess);
        mEvents.after((long) nanos, () -> end(id));
    }

    /** Stops a running request, as the server accepts cancellation. */
    void cancel(long id) {
        account();
        Listener listener = mRuns.remove(id);
        if (listener != null) {
            listener.lost();
        }
    }

    /** Ends the process; what runs is cut. */
    void stop() {
        account();
        mUp = false;
        Map<Long, Listener> runs = new HashMap<>(mRuns);
        mRuns.clear();
        runs.values().forEach(Listener::lost);
    }

    /** Starts a new, cold process. */
    void restart() {
        mUp = true;
        turnCold();
    }

    void turnCold() {
        account();
        mWorkedNanos = 0;
        mLargestExcess = 0;
    }

    void setSlowFactor(double factor) {
        mSlowFactor = factor;
    }

    int running() {
        return mRuns.size();
    }

    long started() {
        return mStarted;
    }

    long busyNanos() {
        account();
        return mBusyNanos;
    }

    /** Returns the largest ratio of running to bearable requests since the last call. */
    double takeLargestExcess() {
        double excess = mLargestExcess;
        mLargestExcess = 0;
        return excess;
    }

    private void end(long id) {
        account();
        Listener listener = mRuns.remove(id);
        if (listener != null) {
            listener.ended();
        }
    }

    private int bearable() {
        return COLD_SLOTS + (int) ((SLOTS - COLD_SLOTS) * mWorkedNanos / WARM_UP_NANOS);
    }

    private void account() {
        long elapsed = mEvents.nowNanos() - mLastNanos;
        mLastNanos = mEvents.nowNanos();
        mBusyNanos += elapsed * mRuns.size();
        double share = Math.min(1, (double) mRuns.size() / COLD_SLOTS);
        mWorkedNanos = Math.min(WARM_UP_NANOS, mWorkedNanos + elapsed * share);
    }

    private double serviceNanos() {
        double u = Math.max(1e-12, mRandom.nextDouble());
        double gauss = Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * mRandom.nextDouble());
        double body = MEDIAN_NANOS * Math.exp(SIGMA * gauss);
        return mRandom.nextDouble() < TAIL_SHARE ? TAIL_FACTOR * body : body;
    }
}

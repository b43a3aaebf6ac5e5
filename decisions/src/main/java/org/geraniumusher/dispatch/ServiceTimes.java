package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * The mean service time of the requests of one service, which is assumed for a server of which this
 * daemon knows nothing yet. Not thread-safe.
 *
 * <p>Load pattern: in a large fleet a daemon sends a request to each server only every few tens of
 * seconds. With a constant assumption below the mean, servers that have not been asked yet look
 * fastest, and all get the same share, however slow they are.
 */
public final class ServiceTimes {
    /** Weight of a new request once there have been many. */
    private static final double SMOOTHING = 0.02;

    private double mMeanNanos;
    private int mRequests;

    private ServiceTimes(double initialNanos) {
        mMeanNanos = initialNanos;
    }

    /** Creates an instance with the time that is assumed until a request has completed. */
    public static ServiceTimes create(long initialNanos) {
        checkArgument(initialNanos > 0, "initialNanos is not positive: %s", initialNanos);
        return new ServiceTimes(initialNanos);
    }

    /** Records the service time of a request at any server of the service. */
    void add(double nanos) {
        mRequests++;
        mMeanNanos += Math.max(SMOOTHING, 1.0 / mRequests) * (nanos - mMeanNanos);
    }

    /** Returns the mean service time in nanoseconds. */
    double meanNanos() {
        return mMeanNanos;
    }
}

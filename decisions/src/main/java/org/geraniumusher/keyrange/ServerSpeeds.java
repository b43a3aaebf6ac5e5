package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Estimates how fast the servers of one service work, from the time that requests take, and what
 * part of the load each should carry. Not thread-safe.
 *
 * <p>Load pattern: servers whose speeds differ by three, and that lose two thirds of it for moments
 * because of neighbours. With the same utilization everywhere, requests at slow servers miss their
 * goals while fast ones have room. While the service as a whole has room, the share of a server
 * therefore grows with the square of its speed; as it fills up, with the speed alone, which uses
 * all slots.
 */
public final class ServerSpeeds {
    private static final double SMOOTHING = 0.05;

    /** The mean of all servers changes more slowly than that of each. */
    private static final double MEAN_SMOOTHING = 0.01;

    private static final double MIN_SPEED = 0.4;
    private static final double MAX_SPEED = 1.6;

    /** Utilization of the whole service up to which fast servers are preferred in full. */
    private static final double ROOMY = 0.55;

    /** Utilization of the whole service from which only the slots count. */
    private static final double FULL = 0.9;

    private final Map<String, Double> mTook = new HashMap<>();
    private double mMeanTook;

    private ServerSpeeds() {}

    /** Returns an estimate in which nothing is known yet. */
    public static ServerSpeeds create() {
        return new ServerSpeeds();
    }

    /** Takes a request that a server ran. */
    public void onRun(String life, double seconds) {
        checkArgument(seconds >= 0, "bad time: %s", seconds);
        mMeanTook = mMeanTook == 0 ? seconds : mMeanTook + MEAN_SMOOTHING * (seconds - mMeanTook);
        mTook.merge(life, seconds, (old, took) -> old + SMOOTHING * (took - old));
    }

    /** Returns the mean time of a request in seconds, or {@code otherwise} before the first. */
    public double meanSeconds(double otherwise) {
        return mMeanTook == 0 ? otherwise : mMeanTook;
    }

    /** Returns the speed of a server relative to the mean. */
    double speed(String life) {
        double took = mTook.getOrDefault(life, mMeanTook);
        double speed = took <= 0 ? 1 : mMeanTook / took;
        return Math.max(MIN_SPEED, Math.min(MAX_SPEED, speed));
    }

    /**
     * Returns the part of each server in the load of the service; their mean is 1.
     *
     * @param utilization work of the whole service relative to its slots
     */
    public ImmutableMap<String, Double> shares(Set<String> lives, double utilization) {
        double exponent = exponent(utilization);
        Map<String, Double> weights = Maps.asMap(lives, l -> Math.pow(speed(l), exponent));
        double mean = weights.values().stream().mapToDouble(d -> d).average().orElse(1);
        return ImmutableMap.copyOf(Maps.transformValues(weights, weight -> weight / mean));
    }

    private static double exponent(double utilization) {
        double room = (FULL - utilization) / (FULL - ROOMY);
        return 1 + Math.max(0, Math.min(1, room));
    }
}

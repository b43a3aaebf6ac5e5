package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * A route: which requests it matches, how they are handled and which services get them. Immutable.
 *
 * <p>Invariant: there is at least one weighted service, and the sum of the weights is positive.
 *
 * @param prefix path prefix that starts and ends with a slash
 * @param timeoutNanos maximum time that a request may wait for its response
 * @param latencyGoalNanos time within which a response has its full value to the caller
 * @param attempts maximum number of backend servers that one request may be sent to
 * @param priority priority of the requests, where 0 is the highest
 * @param weightedServices services among which the requests are split
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutNanos,
        long latencyGoalNanos,
        int attempts,
        int priority,
        ImmutableList<WeightedService> weightedServices) {
    /** Checks the invariant and the ranges of the numbers. */
    public RouteRule {
        checkNotNull(name);
        checkNotNull(host);
        checkNotNull(kind);
        checkArgument(
                prefix.startsWith("/") && prefix.endsWith("/"),
                "prefix does not start and end with a slash: %s",
                prefix);
        checkArgument(timeoutNanos > 0, "timeoutNanos is not positive: %s", timeoutNanos);
        checkArgument(attempts > 0, "attempts is not positive: %s", attempts);
        checkArgument(
                weightedServices.stream().mapToDouble(WeightedService::weight).sum() > 0,
                "sum of weights is not positive: %s",
                weightedServices);
    }

    /**
     * Chooses a service at random, with a probability proportional to its weight.
     *
     * @param uniform random number, uniformly distributed in [0, 1)
     */
    public String selectService(double uniform) {
        return pickWeighted(weightedServices, uniform);
    }

    private static String pickWeighted(List<WeightedService> weightedServices, double uniform) {
        double remaining =
                uniform * weightedServices.stream().mapToDouble(WeightedService::weight).sum();
        for (WeightedService candidate : weightedServices) {
            remaining -= candidate.weight();
            if (remaining < 0) {
                return candidate.service();
            }
        }
        return weightedServices.get(weightedServices.size() - 1).service();
    }
}

package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Describes a route. Immutable.
 *
 * <p>Invariant: there is at least one part, and the sum of the weights is positive.
 *
 * @param prefix path prefix that begins and ends with a slash
 * @param timeoutNanos longest time that a request may wait for its response
 * @param goalNanos time within which a response has its full value
 * @param attempts largest number of backend servers that one request may be sent to
 * @param priority rank, where 0 is the highest
 */
public record RouteRule(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        long timeoutNanos,
        long goalNanos,
        int attempts,
        int priority,
        ImmutableList<WeightedService> parts) {
    /** Checks the invariant. */
    public RouteRule {
        checkNotNull(name);
        checkNotNull(host);
        checkNotNull(kind);
        checkArgument(prefix.startsWith("/") && prefix.endsWith("/"), "bad prefix: %s", prefix);
        checkArgument(timeoutNanos > 0, "bad timeout: %s", timeoutNanos);
        checkArgument(attempts > 0, "bad attempts: %s", attempts);
        checkArgument(
                parts.stream().mapToDouble(WeightedService::weight).sum() > 0,
                "no weight in %s",
                parts);
    }

    /** Returns the service for a request, where {@code draw} is uniform in [0, 1). */
    public String serviceFor(double draw) {
        return pick(parts, draw);
    }

    private static String pick(List<WeightedService> parts, double draw) {
        double left = draw * parts.stream().mapToDouble(WeightedService::weight).sum();
        for (WeightedService part : parts) {
            left -= part.weight();
            if (left < 0) {
                return part.service();
            }
        }
        return parts.get(parts.size() - 1).service();
    }
}

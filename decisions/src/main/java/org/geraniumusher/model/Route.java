package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.MoreObjects;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import java.util.List;
import java.util.Set;

/**
 * Sends requests of a host, path prefix and set of methods to a service. Immutable and thread-safe.
 *
 * @param host host name, or {@code *} for any
 * @param methods methods that match; empty means all
 * @param keySource where the key is; required by keyed services
 * @param idempotentMethods methods whose requests may be repeated
 * @param timeoutMillis longest time from arrival to the end of the response, in milliseconds
 * @param priority class in the queues; a class of higher rank is served first
 */
public record Route(
        String name,
        Labels labels,
        String host,
        String pathPrefix,
        List<String> methods,
        String service,
        KeySource keySource,
        Set<String> idempotentMethods,
        Integer timeoutMillis,
        Priority priority,
        Objective objective)
        implements ConfigObject {
    private static final int DEFAULT_TIMEOUT_MILLIS = 5_000;
    private static final int MAX_TIMEOUT_MILLIS = 600_000;

    /** Refuses empty names and bad timeouts; absent optional values take the defaults. */
    public Route {
        checkArgument(!name.isBlank(), "route without a name");
        checkArgument(service != null, "route %s without a service", name);
        labels = MoreObjects.firstNonNull(labels, Labels.of());
        host = MoreObjects.firstNonNull(host, "*");
        pathPrefix = MoreObjects.firstNonNull(pathPrefix, "/");
        checkArgument(pathPrefix.startsWith("/"), "bad pathPrefix of %s: %s", name, pathPrefix);
        methods = methods == null ? ImmutableList.of() : ImmutableList.copyOf(methods);
        idempotentMethods =
                idempotentMethods == null
                        ? ImmutableSet.of("GET", "HEAD", "OPTIONS")
                        : ImmutableSet.copyOf(idempotentMethods);
        timeoutMillis = MoreObjects.firstNonNull(timeoutMillis, DEFAULT_TIMEOUT_MILLIS);
        checkArgument(
                timeoutMillis >= 1 && timeoutMillis <= MAX_TIMEOUT_MILLIS,
                "bad timeoutMillis of %s: %s",
                name,
                timeoutMillis);
        priority = MoreObjects.firstNonNull(priority, Priority.READ);
    }

    @Override
    public Kind kind() {
        return Kind.ROUTE;
    }

    @Override
    public Route withLabels(Labels newLabels) {
        return new Route(
                name,
                newLabels,
                host,
                pathPrefix,
                methods,
                service,
                keySource,
                idempotentMethods,
                timeoutMillis,
                priority,
                objective);
    }

    /** Reports whether a request of {@code method} may run more than once. */
    public boolean isIdempotent(String method) {
        return idempotentMethods.contains(method);
    }

    /** Orders requests in a queue; the later constant is served first. */
    public enum Priority {
        /** Reads that can wait or be refused. */
        READ,
        /** Order confirmations and reservations. */
        ORDER
    }

    /**
     * States the service-level objective of a route.
     *
     * @param successShare share of requests that must succeed in time, between 0 and 1
     * @param latencyMillis latency within which a request counts as good, in milliseconds
     */
    public record Objective(double successShare, int latencyMillis) {
        /** Checks the ranges. */
        public Objective {
            checkArgument(
                    successShare > 0 && successShare < 1, "bad successShare: %s", successShare);
            checkArgument(latencyMillis >= 1, "bad latencyMillis: %s", latencyMillis);
        }
    }
}

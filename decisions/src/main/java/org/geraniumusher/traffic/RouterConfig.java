package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One complete version of the router configuration. Immutable and thread-safe. */
public final class RouterConfig {
    private final long mVersion;
    private final ImmutableMap<String, ServiceRule> mServices;
    private final TrafficLimits mLimits;
    private final ImmutableMap<String, ImmutableList<RouteRule>> mRoutesByHost;

    private RouterConfig(
            long version,
            ImmutableMap<String, ServiceRule> services,
            TrafficLimits limits,
            ImmutableMap<String, ImmutableList<RouteRule>> routesByHost) {
        mVersion = version;
        mServices = services;
        mLimits = limits;
        mRoutesByHost = routesByHost;
    }

    /** Returns a configuration with the given rules. */
    public static RouterConfig of(
            long version,
            List<RouteRule> routes,
            Map<String, ServiceRule> services,
            TrafficLimits limits) {
        Map<String, List<RouteRule>> byHost = new HashMap<>();
        for (RouteRule route : routes) {
            byHost.computeIfAbsent(hostName(route.host()), host -> new ArrayList<>()).add(route);
        }
        ImmutableMap.Builder<String, ImmutableList<RouteRule>> sorted = ImmutableMap.builder();
        Comparator<RouteRule> longestFirst =
                Comparator.comparingInt((RouteRule r) -> r.prefix().length()).reversed();
        byHost.forEach(
                (host, list) -> sorted.put(host, ImmutableList.sortedCopyOf(longestFirst, list)));
        return new RouterConfig(
                version, ImmutableMap.copyOf(services), checkNotNull(limits), sorted.build());
    }

    /** Returns the version number of this configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns all routes. */
    public ImmutableList<RouteRule> routes() {
        return mRoutesByHost.values().stream()
                .flatMap(List::stream)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the services by name. */
    public ImmutableMap<String, ServiceRule> services() {
        return mServices;
    }

    /** Returns the limits on the requests of callers. */
    public TrafficLimits limits() {
        return mLimits;
    }

    /**
     * Returns the route of {@code host} with the longest prefix of {@code path}.
     *
     * @param host host name in any case; a port is ignored
     */
    public Optional<RouteRule> match(String host, String path) {
        for (RouteRule route : mRoutesByHost.getOrDefault(hostName(host), ImmutableList.of())) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns the name in a {@code Host} header, in lower case and without a port. */
    public static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon >= 0 ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}

package org.geraniumusher.routing;

import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.model.BackendServer;
import org.geraniumusher.model.Configuration;

/**
 * Holds a configuration with what the path of requests derives from it. Making one takes 100 ms and
 * more with 10,000 objects, so it is made on another thread than the one that decides on requests.
 * Immutable and thread-safe.
 *
 * @param servers serving backend servers by the name of their service
 * @param serving names of all backend servers that are in service
 */
public record RoutingConfiguration(
        Configuration configuration,
        RouteTable routes,
        ImmutableListMultimap<String, BackendServer> servers,
        ImmutableSet<String> serving) {
    /** Derives everything from a configuration. */
    public static RoutingConfiguration of(Configuration configuration) {
        return new RoutingConfiguration(
                configuration,
                RouteTable.of(configuration),
                configuration.serversByService(),
                configuration.backendServers().stream()
                        .filter(configuration::isServing)
                        .map(BackendServer::name)
                        .collect(ImmutableSet.toImmutableSet()));
    }
}

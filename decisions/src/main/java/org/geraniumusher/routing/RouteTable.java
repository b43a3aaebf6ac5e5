package org.geraniumusher.routing;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.KeyHash;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Service;

import java.util.Comparator;
import java.util.Optional;

/**
 * Finds the route of a request. A route with a host goes before one for any host, then the longer
 * prefix, then one that lists methods, then the name. Immutable and thread-safe; a look-up costs
 * one comparison a route.
 */
public final class RouteTable {
    private static final Comparator<Route> MOST_SPECIFIC_FIRST =
            Comparator.comparing((Route route) -> route.host().equals("*"))
                    .thenComparing(route -> -route.pathPrefix().length())
                    .thenComparing(route -> route.methods().isEmpty())
                    .thenComparing(Route::name);

    private final Configuration mConfiguration;
    private final ImmutableList<Route> mRoutes;

    private RouteTable(Configuration configuration) {
        mConfiguration = configuration;
        mRoutes = ImmutableList.sortedCopyOf(MOST_SPECIFIC_FIRST, configuration.routes());
    }

    /** Returns the table of a configuration. */
    public static RouteTable of(Configuration configuration) {
        return new RouteTable(configuration);
    }

    /** Returns the route and key of a request, or the code with which to refuse it. */
    public RouteMatch match(RequestHead head) {
        Optional<Route> found = find(head);
        if (found.isEmpty()) {
            return new RouteMatch.Refused(ResultCode.NO_ROUTE);
        }
        Route route = found.get();
        Optional<Service> service = mConfiguration.service(route.service());
        if (service.isEmpty()) {
            return new RouteMatch.Refused(ResultCode.NO_SERVICE);
        }
        return service.get().keyed()
                ? keyed(route, service.get(), head)
                : new RouteMatch.Found(route, service.get(), 0);
    }

    private static RouteMatch keyed(Route route, Service service, RequestHead head) {
        if (route.keySource() == null) {
            return new RouteMatch.Refused(ResultCode.NO_KEY);
        }
        Optional<String> key = KeyExtractor.extract(route.keySource(), head);
        return key.isPresent()
                ? new RouteMatch.Found(route, service, KeyHash.of(key.get()))
                : new RouteMatch.Refused(ResultCode.NO_KEY);
    }

    private Optional<Route> find(RequestHead head) {
        String path = KeyExtractor.path(head.uri());
        for (Route route : mRoutes) {
            if (matches(route, head, path)) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    private static boolean matches(Route route, RequestHead head, String path) {
        return (route.host().equals("*") || route.host().equals(head.host()))
                && hasPrefix(path, route.pathPrefix())
                && (route.methods().isEmpty() || route.methods().contains(head.method()));
    }

    /** A prefix ends at a segment, so that {@code /a} does not match {@code /ab}. */
    private static boolean hasPrefix(String path, String prefix) {
        return path.startsWith(prefix)
                && (prefix.endsWith("/")
                        || path.length() == prefix.length()
                        || path.charAt(prefix.length()) == '/');
    }
}

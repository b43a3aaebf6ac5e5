package org.geraniumusher.routing;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Service;

/** Is the result of looking a request up in the {@link RouteTable}. */
public sealed interface RouteMatch {
    /**
     * Leads to the owner of a key, or to any backend server when the service is not keyed.
     *
     * @param hash hash of the key, 0 for an unkeyed service
     */
    record Found(Route route, Service service, long hash) implements RouteMatch {}

    /** Refuses the request, which did not run. */
    record Refused(ResultCode code) implements RouteMatch {}
}

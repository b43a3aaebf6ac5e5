package org.geraniumusher.routing;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.model.Route;
import org.geraniumusher.model.Service;

/** Is the result of looking a request up in the {@link RouteTable}. */
public sealed interface RouteMatch {
    /** Leads to the owner of a key. */
    record Keyed(Route route, Service service, long hash) implements RouteMatch {}

    /** Leads to any backend server of a service. */
    record Unkeyed(Route route, Service service) implements RouteMatch {}

    /** Refuses the request, which did not run. */
    record Refused(ResultCode code) implements RouteMatch {}
}

package org.geraniumusher.routing;

import org.geraniumusher.model.Route;

/**
 * Holds what an entry daemon tells the gateway daemon of a backend server about a request.
 * Immutable and thread-safe.
 *
 * @param leftMillis time left until the deadline, in milliseconds
 */
public record ForwardedRequest(
        String server,
        String service,
        boolean keyed,
        long hash,
        long epoch,
        long leftMillis,
        boolean idempotent,
        Route.Priority priority) {}

package org.geraniumusher.routing;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.Route;

/**
 * Tells where to send an attempt of a request. Immutable and thread-safe.
 *
 * @param server backend server that executes the request
 * @param address address to connect to: the server's, or the forward port of its gateway daemon
 * @param viaGateway whether {@code address} is that of a gateway daemon
 * @param hash hash of the key, 0 for an unkeyed service
 * @param epoch epoch of the slice, 0 for an unkeyed service
 * @param deadlineNanos time by which the response must have ended
 */
public record Dispatch(
        String server,
        Address address,
        boolean viaGateway,
        String service,
        boolean keyed,
        long hash,
        long epoch,
        boolean idempotent,
        Route.Priority priority,
        long deadlineNanos) {}

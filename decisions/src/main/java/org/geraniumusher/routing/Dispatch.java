package org.geraniumusher.routing;

import org.geraniumusher.admission.GateLoad;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.Route;

/**
 * Tells where to send an attempt of a request. Immutable and thread-safe.
 *
 * @param server backend server that executes the request
 * @param via the connection to use
 * @param hash hash of the key, 0 for an unkeyed service
 * @param epoch epoch of the slice, 0 for an unkeyed service
 * @param deadlineNanos time by which the response must have begun
 */
public record Dispatch(
        String server,
        Via via,
        String service,
        boolean keyed,
        long hash,
        long epoch,
        boolean idempotent,
        Route.Priority priority,
        long deadlineNanos) {
    /** Names the connection of an attempt. */
    public sealed interface Via {
        /** Returns the address to connect to. */
        Address address();
    }

    /** Goes through the forward port of the gateway daemon of the server. */
    public record Gateway(Address address) implements Via {}

    /**
     * Goes to the backend server itself, from its gateway daemon.
     *
     * @param load load of the server's gate at the dispatch, told to the entry daemon
     */
    public record Direct(Address address, GateLoad load) implements Via {}
}

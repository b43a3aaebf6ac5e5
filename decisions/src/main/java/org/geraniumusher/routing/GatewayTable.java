package org.geraniumusher.routing;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;

import java.util.Optional;
import java.util.function.Predicate;

/** Names the daemon through which a backend server is reached. */
public interface GatewayTable {
    /**
     * Returns the forward address of the gateway daemon, or empty when it is this daemon.
     *
     * @param avoided addresses that could not be reached a moment ago; another daemon is named
     *     unless there is none
     */
    Optional<Address> gatewayOf(BackendServer server, Predicate<Address> avoided);

    /**
     * Reports whether the daemon with this forward address is held alive, or leaves and finishes
     * the requests that it has.
     */
    default boolean isAlive(Address gateway) {
        return true;
    }
}

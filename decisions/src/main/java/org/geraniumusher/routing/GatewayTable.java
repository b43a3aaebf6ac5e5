package org.geraniumusher.routing;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.BackendServer;

import java.util.Optional;

/** Names the daemon through which a backend server is reached. */
public interface GatewayTable {
    /** Returns the forward address of the gateway daemon, or empty when it is this daemon. */
    Optional<Address> gatewayOf(BackendServer server);
}

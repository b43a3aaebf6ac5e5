package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * The settings of one service. Immutable.
 *
 * @param keyed whether each backend server owns keys and executes only requests for them
 * @param healthPath path of the health check of a backend server
 * @param maxConnections maximum number of connections that a server accepts from all clients
 * @param warmUpNanos time for which a server is cold after its start
 * @param coldRequestsPerSecond requests per second that a cold server can handle, 0 for no limit
 */
public record ServiceRule(
        String name,
        boolean keyed,
        String healthPath,
        int maxConnections,
        long warmUpNanos,
        double coldRequestsPerSecond) {
    /** Rejects nulls. */
    public ServiceRule {
        checkNotNull(name);
        checkNotNull(healthPath);
    }
}

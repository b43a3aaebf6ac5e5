package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes a service. Immutable.
 *
 * @param keyed whether backend servers own keys and run only requests for these
 * @param maxConnections connections that a server accepts from all callers together
 * @param warmUpNanos time for which a server is cold after its start
 * @param coldRequestsPerSecond requests a second that a cold server bears; 0 when there is no bound
 */
public record ServiceRule(
        String name,
        boolean keyed,
        String healthPath,
        int maxConnections,
        long warmUpNanos,
        double coldRequestsPerSecond) {
    /** Refuses nulls. */
    public ServiceRule {
        checkNotNull(name);
        checkNotNull(healthPath);
    }
}

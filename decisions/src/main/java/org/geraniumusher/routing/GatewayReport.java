package org.geraniumusher.routing;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.admission.GateLoad;

/**
 * Holds what the gateway daemon tells with the answer of a backend server. Immutable and
 * thread-safe.
 *
 * @param load load of the server's gate
 * @param serviceNanos time of this request at the server, without the queue of the gateway
 */
public record GatewayReport(GateLoad load, long serviceNanos) {
    /** Refuses a negative time. */
    public GatewayReport {
        checkNotNull(load);
        checkArgument(serviceNanos >= 0, "bad serviceNanos: %s", serviceNanos);
    }
}

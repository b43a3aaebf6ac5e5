package org.geraniumusher.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Holds what a gateway daemon tells the other daemons with each answer of a backend server.
 * Immutable and thread-safe.
 *
 * @param running requests at the server
 * @param queued requests waiting at the gate
 * @param usableSlots slots that may be used now
 * @param serviceNanos mean time between dispatch and end; 0 when unknown
 */
public record GateLoad(int running, int queued, int usableSlots, long serviceNanos) {
    /** Refuses negative numbers. */
    public GateLoad {
        checkArgument(running >= 0, "bad running: %s", running);
        checkArgument(queued >= 0, "bad queued: %s", queued);
        checkArgument(usableSlots >= 1, "bad usableSlots: %s", usableSlots);
        checkArgument(serviceNanos >= 0, "bad serviceNanos: %s", serviceNanos);
    }
}

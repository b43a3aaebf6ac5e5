package org.geraniumusher.traffic;

/**
 * Limits on the requests and connections of callers. Immutable.
 *
 * @param maxHeaderBytes maximum size of the header section of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeoutNanos maximum time until the header section of a request is complete
 * @param idleTimeoutNanos time after which an idle connection of a caller is closed
 */
public record TrafficLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
    /** Limits that apply until a configuration has been received. */
    public static final TrafficLimits DEFAULT =
            new TrafficLimits(16_384, 8 << 20, 3_000_000_000L, 15_000_000_000L);
}

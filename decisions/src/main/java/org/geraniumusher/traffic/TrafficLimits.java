package org.geraniumusher.traffic;

/**
 * Bounds what a caller may send. Immutable.
 *
 * @param headerTimeoutNanos longest time for the head of a request
 * @param idleTimeoutNanos time after which an idle connection of a caller is closed
 */
public record TrafficLimits(
        int maxHeaderBytes, int maxBodyBytes, long headerTimeoutNanos, long idleTimeoutNanos) {
    /** In force until a configuration is known. */
    public static final TrafficLimits DEFAULT =
            new TrafficLimits(16_384, 8 << 20, 3_000_000_000L, 15_000_000_000L);
}

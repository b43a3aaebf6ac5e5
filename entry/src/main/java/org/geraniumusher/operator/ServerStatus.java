package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A backend server that gets no requests or fewer of them from a daemon, because it is leaving,
 * paused or limited there. Immutable and thread-safe.
 *
 * @param server ID of the incarnation of the server
 * @param service service of the server
 * @param leaving whether the server is leaving
 * @param pausedUntil end of its pause at the daemon, as ISO 8601 in UTC, or empty if it is not
 *     paused
 * @param pauseSecondsLeft seconds until that end, or 0 if it is not paused
 * @param requestsPerSecond requests per second that it takes from all daemons together, or {@link
 *     #NO_LIMIT}
 */
public record ServerStatus(
        String server,
        String service,
        Leaving leaving,
        String pausedUntil,
        double pauseSecondsLeft,
        double requestsPerSecond) {
    /** Stands for a server without a limit. */
    public static final double NO_LIMIT = -1;

    /** Rejects nulls. */
    public ServerStatus {
        checkNotNull(server, "server");
        checkNotNull(service, "service");
        checkNotNull(leaving, "leaving");
        checkNotNull(pausedUntil, "pausedUntil");
    }
}

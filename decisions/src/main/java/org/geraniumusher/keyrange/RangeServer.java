package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes a backend server to the planner. Immutable.
 *
 * @param life name of the life of the server
 * @param capacity work it does in parallel, relative to the other servers
 * @param mayTake whether ranges may be given to it; one that leaves keeps what it has until moved
 */
public record RangeServer(String life, double capacity, boolean mayTake) {
    /** Refuses a capacity that is not positive. */
    public RangeServer {
        checkNotNull(life);
        checkArgument(capacity > 0, "bad capacity: %s", capacity);
    }
}

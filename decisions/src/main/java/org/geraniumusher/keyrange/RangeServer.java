package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes an incarnation of a backend server to the planner. Immutable.
 *
 * @param capacity relative measure of the work that the server does in parallel, greater than 0
 * @param acceptsRanges whether it may be given ranges; a leaving server may not, and keeps its
 *     ranges until they have moved
 */
public record RangeServer(String incarnationId, double capacity, boolean acceptsRanges) {
    /** Throws {@link IllegalArgumentException} if the capacity is not positive. */
    public RangeServer {
        checkNotNull(incarnationId);
        checkArgument(capacity > 0, "capacity is not positive: %s", capacity);
    }
}

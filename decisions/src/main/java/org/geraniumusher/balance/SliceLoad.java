package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Slice;

/**
 * Joins a slice and its measured load. Immutable and thread-safe.
 *
 * @param requestsPerSecond load, smoothed by the caller
 */
public record SliceLoad(Slice slice, double requestsPerSecond) {
    /** Refuses loads that are negative or not finite. */
    public SliceLoad {
        checkNotNull(slice, "slice");
        checkArgument(
                requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond),
                "bad load of %s: %s",
                slice,
                requestsPerSecond);
    }
}

package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ShardState;

/**
 * Holds a shard's state with the store's revision of its last write. Immutable and thread-safe.
 *
 * @param version store revision, the fencing token of the shard; at least 1
 */
public record VersionedState(long version, ShardState state) {
    /** Refuses a version that the store does not give out. */
    public VersionedState {
        checkArgument(version >= 1, "bad version: %s", version);
        checkNotNull(state, "state");
    }
}

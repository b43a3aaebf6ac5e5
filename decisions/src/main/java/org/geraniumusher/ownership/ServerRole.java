package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Describes a backend server to the coordinator of a service. Immutable and thread-safe.
 *
 * @param fenced whether the server checks grants and epochs
 * @param serving false while the server is drained: it keeps its slices until they are moved off
 */
public record ServerRole(String name, boolean fenced, boolean serving) {
    /** Refuses an empty name. */
    public ServerRole {
        checkArgument(!name.isBlank(), "backend server without a name");
    }
}

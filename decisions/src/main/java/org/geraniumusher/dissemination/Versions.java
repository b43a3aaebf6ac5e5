package org.geraniumusher.dissemination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

/**
 * Names versions that a daemon has in force; part of every probe. Immutable and thread-safe.
 *
 * @param configuration version up to which all changes of the configuration are in force
 * @param early later versions that are in force too, not necessarily all of them
 * @param shards versions of shard states by service, not necessarily all of them
 */
public record Versions(
        long configuration, ImmutableSet<Long> early, ImmutableMap<String, Long> shards) {
    private static final Versions NONE = new Versions(0, ImmutableSet.of(), ImmutableMap.of());

    /** Refuses a negative version. */
    public Versions {
        checkArgument(configuration >= 0, "bad version: %s", configuration);
        checkNotNull(early, "early");
        checkNotNull(shards, "shards");
    }

    /** Returns the versions of a daemon that has just started. */
    public static Versions none() {
        return NONE;
    }

    /** Reports whether the change that made {@code version} is in force. */
    boolean has(long version) {
        return configuration >= version || early.contains(version);
    }
}

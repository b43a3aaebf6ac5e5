package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import java.util.List;
import java.util.Optional;

/**
 * Tells a backend server which slices of a shard it owns, and until when. It replaces what earlier
 * grants of the shard said. Immutable and thread-safe.
 *
 * @param version version of the shard's state
 * @param incarnation run of the server that the grant is meant for
 * @param readingNanos reading of the server's clock that the expiry is based on
 * @param expiryNanos end of validity in the server's clock
 */
public record Grant(
        String service,
        long version,
        long incarnation,
        long readingNanos,
        long expiryNanos,
        List<GrantRange> ranges) {
    /** Refuses a version that the store does not give out. */
    public Grant {
        checkArgument(!service.isBlank(), "grant without a service");
        checkArgument(version >= 1, "bad version: %s", version);
        ranges = ImmutableList.copyOf(ranges);
    }

    /** Returns the range that holds {@code hash}, if the grant covers it. */
    Optional<GrantRange> rangeOf(long hash) {
        return ranges.stream().filter(r -> r.contains(hash)).findFirst();
    }

    /** Reports whether this grant takes precedence over {@code other}. */
    boolean isNewerThan(Grant other) {
        return version > other.version
                || (version == other.version && readingNanos > other.readingNanos);
    }
}

package org.geraniumusher.dissemination;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.dissemination.ShardChange.Slices;
import org.geraniumusher.dissemination.ShardChange.Whole;
import org.geraniumusher.model.ShardState;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds a daemon's copy of the shard states, with a few earlier versions to build deltas from.
 *
 * <p>Invariant: the version of a shard never goes back. Not thread-safe.
 */
final class ShardReplica {
    /** Earlier versions kept of each shard. */
    static final int HISTORY = 8;

    /** Shards by service, the most recently changed last. */
    private final Map<String, TreeMap<Long, ShardState>> mShards = new LinkedHashMap<>();

    /** Says what became of a change. */
    enum Result {
        /** The shard is at the version of the change now. */
        APPLIED,
        /** The shard was at this version or a later one. */
        KNOWN,
        /** The change builds on a version that is not held. */
        GAP
    }

    /** Returns the version of a shard, or 0 when it is not known. */
    long version(String service) {
        TreeMap<Long, ShardState> states = mShards.get(service);
        return states == null ? 0 : states.lastKey();
    }

    /** Returns the state of a shard. */
    Optional<ShardState> state(String service) {
        return Optional.ofNullable(mShards.get(service))
                .map(states -> states.lastEntry().getValue());
    }

    /** Returns the services of all shards, the most recently changed last. */
    ImmutableList<String> services() {
        return ImmutableList.copyOf(mShards.keySet());
    }

    /** Takes a change. */
    Result apply(ShardChange change) {
        if (change.version() <= version(change.service())) {
            return Result.KNOWN;
        }
        Optional<ShardState> state =
                change instanceof Whole whole
                        ? Optional.of(whole.state())
                        : applySlices((Slices) change);
        if (state.isEmpty()) {
            return Result.GAP;
        }
        store(change.version(), state.get());
        return Result.APPLIED;
    }

    /** Returns the smallest change that brings a daemon at {@code version} to the present state. */
    Optional<ShardChange> changeSince(String service, long version) {
        TreeMap<Long, ShardState> states = mShards.get(service);
        if (states == null || states.lastKey() <= version) {
            return Optional.empty();
        }
        Map.Entry<Long, ShardState> last = states.lastEntry();
        ShardState old = states.get(version);
        return Optional.of(
                old == null
                        ? new Whole(last.getKey(), last.getValue())
                        : ShardChange.between(version, old, last.getKey(), last.getValue()));
    }

    /** Returns those of {@code versions} that are later than the ones held, with the ones held. */
    ImmutableMap<String, Long> behind(Map<String, Long> versions) {
        ImmutableMap.Builder<String, Long> behind = ImmutableMap.builder();
        versions.forEach(
                (service, version) -> {
                    long mine = version(service);
                    if (version > mine) {
                        behind.put(service, mine);
                    }
                });
        return behind.buildOrThrow();
    }

    private Optional<ShardState> applySlices(Slices change) {
        TreeMap<Long, ShardState> states = mShards.get(change.service());
        ShardState base = states == null ? null : states.get(change.base());
        return base == null ? Optional.empty() : change.applyTo(base);
    }

    private void store(long version, ShardState state) {
        TreeMap<Long, ShardState> states = mShards.remove(state.service());
        if (states == null) {
            states = new TreeMap<>();
        }
        states.put(version, state);
        while (states.size() > HISTORY) {
            states.pollFirstEntry();
        }
        mShards.put(state.service(), states);
    }
}

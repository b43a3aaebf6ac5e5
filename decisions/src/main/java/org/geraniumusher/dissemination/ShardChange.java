package org.geraniumusher.dissemination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Brings the state of a shard to a version. Implementations are immutable. */
public sealed interface ShardChange {
    /** Returns the service that the shard belongs to. */
    String service();

    /** Returns the version that the change leads to. */
    long version();

    /** Is the whole state. */
    record Whole(long version, ShardState state) implements ShardChange {
        /** Refuses versions before the first. */
        public Whole {
            checkArgument(version > 0, "bad version: %s", version);
            checkNotNull(state, "state");
        }

        @Override
        public String service() {
            return state.service();
        }
    }

    /**
     * Is the state without the slices that are as in an earlier version.
     *
     * @param base version that the change builds on; has the same ranges
     * @param slices changed slices by index
     */
    record Slices(
            String service,
            long base,
            long version,
            long term,
            String coordinator,
            ImmutableList<String> standbys,
            ImmutableList<List<String>> unfencedGroups,
            long lastEpoch,
            ImmutableMap<Integer, Slice> slices)
            implements ShardChange {
        /** Refuses a base that is not older than the version. */
        public Slices {
            checkArgument(0 < base && base < version, "base %s of version %s", base, version);
            checkNotNull(service, "service");
            checkNotNull(coordinator, "coordinator");
        }

        /** Returns the new state, or empty when the slices do not fit {@code old}. */
        Optional<ShardState> applyTo(ShardState old) {
            List<Slice> all = new ArrayList<>(old.slices());
            for (var entry : slices.entrySet()) {
                int index = entry.getKey();
                if (index < 0 || index >= all.size()) {
                    return Optional.empty();
                }
                if (!hasSameRange(all.get(index), entry.getValue())) {
                    return Optional.empty();
                }
                all.set(index, entry.getValue());
            }
            return Optional.of(
                    new ShardState(
                            service, term, coordinator, standbys, unfencedGroups, lastEpoch, all));
        }
    }

    /** Returns the smallest change from one state to another. */
    static ShardChange between(
            long oldVersion, ShardState oldState, long newVersion, ShardState newState) {
        int count = newState.slices().size();
        if (oldState.slices().size() != count) {
            return new Whole(newVersion, newState);
        }
        ImmutableMap.Builder<Integer, Slice> changed = ImmutableMap.builder();
        for (int i = 0; i < count; i++) {
            Slice slice = newState.slices().get(i);
            if (!hasSameRange(oldState.slices().get(i), slice)) {
                return new Whole(newVersion, newState);
            }
            if (!oldState.slices().get(i).equals(slice)) {
                changed.put(i, slice);
            }
        }
        return new Slices(
                newState.service(),
                oldVersion,
                newVersion,
                newState.term(),
                newState.coordinator(),
                ImmutableList.copyOf(newState.standbys()),
                ImmutableList.copyOf(newState.unfencedGroups()),
                newState.lastEpoch(),
                changed.buildOrThrow());
    }

    private static boolean hasSameRange(Slice one, Slice other) {
        return one.first() == other.first() && one.last() == other.last();
    }
}

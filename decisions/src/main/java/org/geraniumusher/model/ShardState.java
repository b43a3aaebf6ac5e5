package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Holds the stored state of one shard of a keyed service.
 *
 * <p>Slices are sorted, do not overlap and cover the hash space. Immutable and thread-safe.
 *
 * @param service service that the shard belongs to
 * @param term fencing token of the coordinator; grows with each takeover
 * @param coordinator daemon that coordinates the shard
 * @param standbys daemons that prolong the coordinator's authority and may take over
 * @param unfencedGroups groups of older versions that may still obtain authority
 * @param lastEpoch highest epoch given out
 */
public record ShardState(
        String service,
        long term,
        String coordinator,
        List<String> standbys,
        List<List<String>> unfencedGroups,
        long lastEpoch,
        List<Slice> slices) {
    /** Checks that the slices cover the hash space in order. */
    public ShardState {
        checkArgument(!service.isBlank(), "shard without a service");
        standbys = ImmutableList.copyOf(standbys);
        unfencedGroups =
                unfencedGroups.stream()
                        .map(ImmutableList::copyOf)
                        .collect(ImmutableList.toImmutableList());
        slices = ImmutableList.copyOf(slices);
        checkArgument(!slices.isEmpty(), "shard of %s without slices", service);
        checkArgument(slices.get(0).first() == 0, "first slice of %s does not start at 0", service);
        checkArgument(
                slices.get(slices.size() - 1).last() == -1L,
                "last slice of %s does not end the hash space",
                service);
        for (int i = 1; i < slices.size(); i++) {
            checkArgument(
                    slices.get(i).first() == slices.get(i - 1).last() + 1,
                    "gap or overlap before slice %s of %s",
                    i,
                    service);
        }
    }

    /** Returns a state with {@code count} equal slices without owners, at term 0. */
    public static ShardState create(String service, int count) {
        checkArgument(count >= 1, "bad number of slices: %s", count);
        ImmutableList.Builder<Slice> slices = ImmutableList.builder();
        long width = count == 1 ? 0 : Long.divideUnsigned(-1L, count) + 1;
        for (int i = 0; i < count; i++) {
            long last = i == count - 1 ? -1L : width * (i + 1) - 1;
            slices.add(new Slice(width * i, last, "", 0, "", ""));
        }
        return new ShardState(
                service, 0, "", ImmutableList.of(), ImmutableList.of(), 0, slices.build());
    }

    /** Returns the index of the slice that holds {@code hash}; binary search. */
    public int indexOf(long hash) {
        int low = 0;
        int high = slices.size() - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (Long.compareUnsigned(hash, slices.get(middle).last()) > 0) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns the slice that holds {@code hash}. */
    public Slice sliceOf(long hash) {
        return slices.get(indexOf(hash));
    }

    /** Returns the daemons that may renew grants: coordinator and standbys; empty at term 0. */
    @JsonIgnore
    public ImmutableList<String> group() {
        return coordinator.isEmpty()
                ? ImmutableList.of()
                : ImmutableList.<String>builder().add(coordinator).addAll(standbys).build();
    }

    /** Returns a copy with other slices and a new highest epoch. */
    public ShardState withSlices(long newLastEpoch, List<Slice> newSlices) {
        return new ShardState(
                service, term, coordinator, standbys, unfencedGroups, newLastEpoch, newSlices);
    }

    /** Returns a copy without groups that have been fenced. */
    public ShardState withUnfencedGroups(List<List<String>> groups) {
        return new ShardState(service, term, coordinator, standbys, groups, lastEpoch, slices);
    }

    /** Returns a copy with the next term and another group; the present group is unfenced. */
    public ShardState takenOverBy(String newCoordinator, List<String> newStandbys) {
        ImmutableList.Builder<List<String>> groups = ImmutableList.builder();
        groups.addAll(unfencedGroups);
        if (!group().isEmpty()) {
            groups.add(group());
        }
        return new ShardState(
                service, term + 1, newCoordinator, newStandbys, groups.build(), lastEpoch, slices);
    }
}

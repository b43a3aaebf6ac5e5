package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Evens out the number of slices per server with the fewest moves: each server gets the mean
 * rounded down or up. Immutable and thread-safe.
 */
public final class EvenCountPolicy implements AssignmentPolicy {
    private EvenCountPolicy() {}

    /** Returns the policy. */
    public static EvenCountPolicy create() {
        return new EvenCountPolicy();
    }

    @Override
    public ImmutableList<String> wantedOwners(
            ShardState state, ImmutableSortedSet<String> servers) {
        checkArgument(!servers.isEmpty(), "no servers for %s", state.service());
        List<Slice> slices = state.slices();
        List<String> heading = new ArrayList<>();
        Map<String, Integer> counts = new HashMap<>();
        for (Slice slice : slices) {
            String target = headedFor(slice, servers);
            heading.add(target);
            counts.merge(target, 1, Integer::sum);
        }
        Map<String, Integer> room = quotas(slices.size(), servers, counts);
        keepWithinQuota(heading, room);
        return placeRest(heading, room, servers);
    }

    private static String headedFor(Slice slice, ImmutableSortedSet<String> servers) {
        if (servers.contains(slice.pending())) {
            return slice.pending();
        }
        return servers.contains(slice.owner()) ? slice.owner() : "";
    }

    /** Gives the larger share to the servers that own most, which saves moves. */
    private static Map<String, Integer> quotas(
            int slices, ImmutableSortedSet<String> servers, Map<String, Integer> counts) {
        List<String> order = new ArrayList<>(servers);
        order.sort(Comparator.comparing((String s) -> -counts.getOrDefault(s, 0)));
        int larger = slices % servers.size();
        Map<String, Integer> quotas = new HashMap<>();
        for (int i = 0; i < order.size(); i++) {
            quotas.put(order.get(i), slices / servers.size() + (i < larger ? 1 : 0));
        }
        return quotas;
    }

    private static void keepWithinQuota(List<String> heading, Map<String, Integer> room) {
        for (int i = 0; i < heading.size(); i++) {
            int left = room.getOrDefault(heading.get(i), 0);
            if (left == 0) {
                heading.set(i, "");
            } else {
                room.put(heading.get(i), left - 1);
            }
        }
    }

    /** Takes turns, so that the slices of one lost server spread over all others. */
    private static ImmutableList<String> placeRest(
            List<String> heading, Map<String, Integer> room, ImmutableSortedSet<String> servers) {
        ArrayDeque<String> turns = new ArrayDeque<>(servers);
        for (int i = 0; i < heading.size(); i++) {
            while (heading.get(i).isEmpty()) {
                String server = turns.removeFirst();
                int left = room.get(server);
                if (left > 0) {
                    heading.set(i, server);
                    room.put(server, left - 1);
                    turns.addLast(server);
                }
            }
        }
        return ImmutableList.copyOf(heading);
    }
}

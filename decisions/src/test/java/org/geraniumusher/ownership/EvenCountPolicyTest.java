package org.geraniumusher.ownership;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Collectors;

/** Guards against uneven slice counts and against moves that evenness does not need. */
class EvenCountPolicyTest {
    @Property(seed = "42", tries = 500)
    void wantedOwners_anyOwners_evenWithFewestMoves(
            @ForAll @Size(min = 1, max = 40) List<@IntRange(max = 6) Integer> owners,
            @ForAll @IntRange(min = 1, max = 5) int count) {
        ShardState state = stateOf(owners);
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add("s" + i);
        }
        ImmutableList<String> wanted =
                EvenCountPolicy.create().wantedOwners(state, ImmutableSortedSet.copyOf(servers));
        int moves = 0;
        for (int i = 0; i < owners.size(); i++) {
            moves += wanted.get(i).equals(state.slices().get(i).owner()) ? 0 : 1;
        }
        List<Integer> after = servers.stream().map(s -> Collections.frequency(wanted, s)).toList();
        assertThat(Collections.max(after) - Collections.min(after)).isAtMost(1);
        assertThat(moves).isEqualTo(fewestMoves(state, servers));
    }

    /** Keeps, of the fullest servers first, as many slices as an even share allows. */
    private static int fewestMoves(ShardState state, List<String> servers) {
        List<String> owners =
                state.slices().stream().map(Slice::owner).collect(Collectors.toList());
        List<Integer> counts =
                new ArrayList<>(
                        servers.stream().map(s -> Collections.frequency(owners, s)).toList());
        counts.sort(Collections.reverseOrder());
        int kept = 0;
        for (int i = 0; i < counts.size(); i++) {
            int larger = i < owners.size() % servers.size() ? 1 : 0;
            kept += Math.min(counts.get(i), owners.size() / servers.size() + larger);
        }
        return owners.size() - kept;
    }

    private static ShardState stateOf(List<Integer> owners) {
        ShardState empty = ShardState.create("catalogue", owners.size());
        List<Slice> slices = new ArrayList<>();
        for (int i = 0; i < owners.size(); i++) {
            slices.add(empty.slices().get(i).assignedTo("s" + owners.get(i), i + 1));
        }
        return empty.withSlices(owners.size(), slices);
    }
}

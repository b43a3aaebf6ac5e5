package org.geraniumusher.model;

import static com.google.common.truth.Truth.assertThat;

import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Test;

/** Guards against keys that fall into no slice or into two. */
class ShardStateTest {
    @Property(seed = "42", tries = 200)
    void sliceOf_anyHash_containsIt(
            @ForAll long hash, @ForAll @IntRange(min = 1, max = 999) int n) {
        ShardState state = ShardState.create("catalogue", n);
        assertThat(state.slices()).hasSize(n);
        assertThat(state.sliceOf(hash).contains(hash)).isTrue();
    }

    @Test
    void constructor_gap_refused() {
        ImmutableList<Slice> slices =
                ImmutableList.of(new Slice(0, 9, "", 0, "", ""), new Slice(11, -1, "", 0, "", ""));
        ShardState state = ShardState.create("catalogue", 1);
        assertThrows(IllegalArgumentException.class, () -> state.withSlices(0, slices));
    }

    @Test
    void takenOverBy_groupExists_becomesUnfenced() {
        ShardState first =
                ShardState.create("catalogue", 2).takenOverBy("d1", ImmutableList.of("d2"));
        assertThat(first.unfencedGroups()).isEmpty();
        ShardState second = first.takenOverBy("d2", ImmutableList.of("d3"));
        assertThat(second.unfencedGroups()).containsExactly(ImmutableList.of("d1", "d2"));
        assertThat(second.term()).isEqualTo(2);
    }
}

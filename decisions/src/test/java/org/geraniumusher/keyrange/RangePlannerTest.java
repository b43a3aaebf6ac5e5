package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Guards the plan of key ranges under the load patterns that it answers. */
final class RangePlannerTest {
    private static final RangeServer A = new RangeServer("a", 10, true);
    private static final RangeServer B = new RangeServer("b", 10, true);
    private static final RangeServer C = new RangeServer("c", 20, true);

    private final KeyLoad mLoad = KeyLoad.create(0);

    private static List<Assignment> assignments(String first, String second) {
        return List.of(
                new Assignment(new KeyRange(0, 32_767), first, 5, ImmutableList.of()),
                new Assignment(new KeyRange(32_768, 65_535), second, 5, ImmutableList.of()));
    }

    private void heat(int first, int last, double each) {
        for (int key = first; key <= last; key++) {
            mLoad.add(key, each, 0);
        }
    }

    private Optional<RangeMove> relieve(List<RangeServer> servers, List<Assignment> assignments) {
        RangePlanner planner = RangePlanner.create(servers, mLoad);
        planner.measure(assignments);
        return planner.relieve(assignments);
    }

    @Test
    void divide_byCapacity_coversAllKeys() {
        ImmutableList<Assignment> parts = RangePlanner.divide(List.of(A, B, C));

        assertThat(RangeTable.of(1, parts).assignments()).hasSize(3);
        assertThat(parts.get(2).range().size()).isEqualTo(32_768);
    }

    @Test
    void divide_noServerMayTake_isEmpty() {
        assertThat(RangePlanner.divide(List.of(new RangeServer("x", 6, false)))).isEmpty();
    }

    /** Idle servers must not exchange keys: each move costs. */
    @Test
    void relieve_littleLoad_movesNothing() {
        heat(0, 100, 0.01);

        assertThat(relieve(List.of(A, B), assignments("a", "b"))).isEmpty();
    }

    /** Neighbouring hot keys overload their owner: a narrow part of them must move. */
    @Test
    void relieve_hotKeys_movesNarrowWindowOfThem() {
        heat(2_000, 2_199, 0.05);

        RangeMove move = relieve(List.of(A, B), assignments("a", "b")).orElseThrow();

        assertThat(move.target()).isEqualTo("b");
        assertThat(move.window().size()).isAtMost(200);
        assertThat(move.window().overlaps(new KeyRange(2_000, 2_199))).isTrue();
    }

    /**
     * The busiest server has one hot key, which would only overload the next owner. It must not
     * keep the keys of another busy server where they are, as on vtgw-gate scale-1.
     */
    @Test
    void relieve_busiestHasOneHotKey_nextBusyServerIsRelieved() {
        heat(100, 100, 30);
        heat(40_000, 40_199, 0.1);

        RangeMove move =
                relieve(
                                List.of(A, B, C),
                                List.of(
                                        new Assignment(
                                                new KeyRange(0, 32_767),
                                                "a",
                                                5,
                                                ImmutableList.of()),
                                        new Assignment(
                                                new KeyRange(32_768, 60_000),
                                                "b",
                                                5,
                                                ImmutableList.of()),
                                        new Assignment(
                                                new KeyRange(60_001, 65_535),
                                                "c",
                                                5,
                                                ImmutableList.of())))
                        .orElseThrow();

        assertThat(move.window().overlaps(new KeyRange(40_000, 40_199))).isTrue();
        assertThat(move.target()).isEqualTo("c");
    }

    /** A server that has joined must get keys although nobody is overloaded. */
    @Test
    void relieve_serverWithoutKeys_getsSome() {
        heat(0, 65_535, 0.0001);

        RangeMove move = relieve(List.of(A, B, C), assignments("a", "b")).orElseThrow();

        assertThat(move.target()).isEqualTo("c");
    }

    @Test
    void adopt_orphan_goesToServersThatMayTake() {
        RangePlanner planner =
                RangePlanner.create(List.of(A, new RangeServer("b", 10, false)), mLoad);
        planner.measure(assignments("b", "b"));

        List<Assignment> parts = planner.adopt(assignments("b", "b").get(0), ImmutableList.of("b"));

        parts.forEach(p -> assertThat(p.owner()).isEqualTo("a"));
        parts.forEach(p -> assertThat(p.previous()).containsExactly("b"));
        assertThat(parts.stream().mapToInt(p -> p.range().size()).sum()).isEqualTo(32_768);
    }

    @Test
    void adopt_nobodyMayTake_isEmpty() {
        RangePlanner planner = RangePlanner.create(List.of(new RangeServer("b", 10, false)), mLoad);
        planner.measure(assignments("b", "b"));

        assertThat(planner.adopt(assignments("b", "b").get(0), ImmutableList.of())).isEmpty();
    }
}

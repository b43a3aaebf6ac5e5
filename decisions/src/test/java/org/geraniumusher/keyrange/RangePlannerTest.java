package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.StoreVersion;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Optional;

/** Tests the plan of key ranges under the load patterns that the planner handles. */
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

    private void addLoad(int first, int last, double workPerKey) {
        for (int key = first; key <= last; key++) {
            mLoad.add(key, workPerKey, 0);
        }
    }

    private Optional<RangeMove> findLoadMove(
            List<RangeServer> servers, List<Assignment> assignments) {
        RangePlanner planner = RangePlanner.create(servers, mLoad);
        planner.updateLoads(assignments);
        return planner.findLoadMove(assignments);
    }

    @Test
    void divideEvenly_byCapacity_coversAllKeys() {
        ImmutableList<Assignment> parts = RangePlanner.divideEvenly(List.of(A, B, C));

        assertThat(RangeTable.of(new StoreVersion(0, 1), parts).assignments()).hasSize(3);
        assertThat(parts.get(2).range().size()).isEqualTo(32_768);
    }

    @Test
    void divideEvenly_noServerAcceptsRanges_isEmpty() {
        assertThat(RangePlanner.divideEvenly(List.of(new RangeServer("x", 6, false)))).isEmpty();
    }

    /** Nearly idle servers must not exchange keys, because each move has a cost. */
    @Test
    void findLoadMove_lowLoad_isEmpty() {
        addLoad(0, 100, 0.01);

        assertThat(findLoadMove(List.of(A, B), assignments("a", "b"))).isEmpty();
    }

    /** Neighbouring hot keys overload their owner, so a narrow window of them must move. */
    @Test
    void findLoadMove_hotKeys_movesNarrowWindowOfThem() {
        addLoad(2_000, 2_199, 0.05);

        RangeMove move = findLoadMove(List.of(A, B), assignments("a", "b")).orElseThrow();

        assertThat(move.target()).isEqualTo("b");
        assertThat(move.window().size()).isAtMost(200);
        assertThat(move.window().overlaps(new KeyRange(2_000, 2_199))).isTrue();
    }

    /**
     * All load of the busiest server is on one hot key, which would only overload its next owner.
     * It must not prevent moves from the next busy server.
     */
    @Test
    void findLoadMove_busiestHasOneHotKey_movesFromNextBusyServer() {
        addLoad(100, 100, 30);
        addLoad(40_000, 40_199, 0.1);

        RangeMove move =
                findLoadMove(
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

    /** A server that has just joined must get keys although no server is overloaded. */
    @Test
    void findLoadMove_serverWithoutKeys_isTarget() {
        addLoad(0, 65_535, 0.0001);

        RangeMove move = findLoadMove(List.of(A, B, C), assignments("a", "b")).orElseThrow();

        assertThat(move.target()).isEqualTo("c");
    }

    @Test
    void reassign_orphan_goesToServersThatAcceptRanges() {
        RangePlanner planner =
                RangePlanner.create(List.of(A, new RangeServer("b", 10, false)), mLoad);
        planner.updateLoads(assignments("b", "b"));

        List<Assignment> parts =
                planner.reassign(assignments("b", "b").get(0), ImmutableList.of("b"));

        parts.forEach(p -> assertThat(p.owner()).isEqualTo("a"));
        parts.forEach(p -> assertThat(p.previous()).containsExactly("b"));
        assertThat(parts.stream().mapToInt(p -> p.range().size()).sum()).isEqualTo(32_768);
    }

    @Test
    void reassign_noServerAcceptsRanges_isEmpty() {
        RangePlanner planner = RangePlanner.create(List.of(new RangeServer("b", 10, false)), mLoad);
        planner.updateLoads(assignments("b", "b"));

        assertThat(planner.reassign(assignments("b", "b").get(0), ImmutableList.of())).isEmpty();
    }
}

package org.geraniumusher.balance;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.balance.ServerCapacity.Condition;
import org.junit.jupiter.api.Test;

import java.util.Arrays;
import java.util.List;
import java.util.Random;

/**
 * Guards against needless churn, oscillation, overload of single or cold servers, and slices that
 * stay on a server that leaves.
 */
class BalanceStrategyTest {
    private static double[] equal(int count, double load) {
        double[] loads = new double[count];
        Arrays.fill(loads, load);
        return loads;
    }

    @Test
    void plan_ownerLost_movesOnlyItsSlices() {
        Fixture fixture = new Fixture().servers(3).slices("s0", equal(20, 1));
        fixture.slices("s1", equal(20, 1)).slices("s2", equal(20, 1)).lose("s1");
        List<Move> moves = fixture.step(BalanceStrategy.LOAD);
        assertThat(moves).hasSize(20);
        assertThat(moves.stream().allMatch(m -> m.from().equals("s1"))).isTrue();
        assertThat(moves.stream().allMatch(m -> m.reason() == MoveReason.OWNER_LOST)).isTrue();
        assertThat(fixture.step(BalanceStrategy.LOAD)).isEmpty();
        assertThat(fixture.count("s0")).isEqualTo(30);
    }

    @Test
    void plan_belowStart_movesOnlyWhileRebalancing() {
        Fixture fixture = new Fixture().servers(2);
        fixture.slices("s0", equal(54, 1)).slices("s1", equal(46, 1));
        assertThat(fixture.step(BalanceStrategy.LOAD)).isEmpty();
        assertThat(fixture.rebalancing().step(BalanceStrategy.LOAD)).isNotEmpty();
    }

    @Test
    void plan_aboveStart_movesUntilStop() {
        Fixture fixture = new Fixture().servers(2);
        fixture.slices("s0", equal(56, 1)).slices("s1", equal(44, 1));
        assertThat(fixture.settle(BalanceStrategy.LOAD)).isEqualTo(4);
        assertThat(fixture.imbalance()).isAtMost(1.05);
    }

    @Test
    void plan_gainBelowCost_movesNothing() {
        Fixture fixture = new Fixture().servers(2);
        fixture.slices("s0", 120).slices("s0", equal(3, 0.2)).slices("s1", 80);
        assertThat(fixture.step(BalanceStrategy.LOAD)).isEmpty();
    }

    @Test
    void plan_minuteUsedUp_movesNothingForBalance() {
        Fixture fixture = new Fixture().servers(4).slices("s0", equal(100, 1));
        BalanceInput input = fixture.input().movesInLastMinute(30).build();
        assertThat(BalanceStrategy.LOAD.plan(input).moves()).hasSize(2);
        input = fixture.input().movesInLastMinute(32).build();
        assertThat(BalanceStrategy.LOAD.plan(input).moves()).isEmpty();
        assertThat(BalanceStrategy.LOAD.plan(input).isRebalancing()).isTrue();
    }

    @Test
    void plan_bigMoveInFlight_startsNoSecondOne() {
        Fixture fixture = new Fixture().servers(3).slices("s0", equal(6, 10));
        List<Move> moves = fixture.step(BalanceStrategy.LOAD);
        assertThat(moves).hasSize(1);
        BalanceInput input =
                new Fixture().servers(3).slices("s0", equal(6, 10)).input().inFlight(moves).build();
        assertThat(BalanceStrategy.LOAD.plan(input).moves()).isEmpty();
    }

    @Test
    void plan_drain_precedesBalanceAndRespectsColdServers() {
        Fixture fixture = new Fixture().server("cold", Condition.COLD);
        fixture.server("leaving", Condition.DRAINING).server("warm", Condition.WARM);
        fixture.server("idle", Condition.WARM);
        fixture.slices("leaving", equal(40, 1)).slices("warm", equal(60, 1));
        List<Move> moves = fixture.step(BalanceStrategy.LOAD);
        assertThat(moves.stream().allMatch(m -> m.reason() == MoveReason.DRAIN)).isTrue();
        assertThat(moves.stream().filter(m -> m.to().equals("cold")).count()).isEqualTo(1);
        assertThat(moves.stream().filter(m -> m.to().equals("idle")).count()).isEqualTo(4);
        fixture.settle(BalanceStrategy.LOAD);
        assertThat(fixture.count("leaving")).isEqualTo(0);
        assertThat(fixture.load("cold")).isAtMost(fixture.load("warm") / 2);
    }

    @Test
    void plan_serverReturnsCold_receivesSlicesOneByOne() {
        Fixture fixture = new Fixture().servers(20).server("s20", Condition.COLD);
        for (int i = 0; i < 20; i++) {
            fixture.slices("s" + i, equal(12, 1));
        }
        for (int i = 0; i < 3; i++) {
            List<Move> moves = fixture.step(BalanceStrategy.LOAD);
            assertThat(moves).hasSize(1);
            assertThat(moves.get(0).to()).isEqualTo("s20");
        }
        fixture.settle(BalanceStrategy.LOAD);
        assertThat(fixture.load("s20")).isAtMost(5);
    }

    @Test
    void plan_sliceInFlight_isNotMovedAgain() {
        Fixture fixture = new Fixture().servers(2).slices("s0", equal(2, 10)).lose("s0");
        Move move = new Move(0, "s0", "s1", MoveReason.OWNER_LOST);
        BalanceInput input = fixture.input().inFlight(ImmutableList.of(move)).build();
        List<Move> moves = BalanceStrategy.LOAD.plan(input).moves();
        assertThat(moves).containsExactly(new Move(10, "s0", "s1", MoveReason.OWNER_LOST));
    }

    @Test
    void plan_noServer_movesNothing() {
        Fixture fixture = new Fixture().slices("gone", 1, 2);
        assertThat(fixture.step(BalanceStrategy.LOAD)).isEmpty();
    }

    @Test
    void strategies_skewedLoad_differ() {
        Fixture fixture = new Fixture().servers(2);
        fixture.slices("s0", equal(30, 3)).slices("s1", equal(30, 1));
        assertThat(fixture.step(BalanceStrategy.EVEN_COUNT)).isEmpty();
        fixture.settle(BalanceStrategy.LOAD);
        assertThat(fixture.imbalance()).isAtMost(1.10);
        assertThat(fixture.count("s0")).isLessThan(25);
    }

    /** Slices of at most 8% of a server's mean load: 20 per server, loads from 0.5 to 1.5. */
    @Property(tries = 100)
    void settle_smallSlices_endsWithinGoalAtLeastChurn(
            @ForAll @IntRange(min = 4, max = 24) int servers, @ForAll long seed) {
        Fixture fixture = new Fixture().servers(servers);
        Random random = new Random(seed);
        for (int i = 0; i < servers * 20; i++) {
            fixture.slices("s" + random.nextInt(servers), 0.5 + random.nextDouble());
        }
        fixture.settle(BalanceStrategy.LOAD);
        assertThat(fixture.imbalance()).isAtMost(1.15);
        assertThat(fixture.step(BalanceStrategy.LOAD)).isEmpty();
        long least = fixture.count("s1");
        int moves = fixture.lose("s1").settle(BalanceStrategy.LOAD);
        assertThat((double) moves).isAtMost(1.1 * least);
        assertThat(fixture.imbalance()).isAtMost(1.15);
    }
}

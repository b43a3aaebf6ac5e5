package org.geraniumusher.balance;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.balance.ServerCapacity.Condition;
import org.junit.jupiter.api.Test;

import java.util.List;
import java.util.Random;

/**
 * Guards against needless churn, oscillation, overload of single or cold servers, and slices that
 * stay on a server that leaves.
 */
class BalanceStrategyTest {
    private static final BalanceStrategy LOAD = BalanceStrategy.LOAD;

    @Test
    void plan_ownerLost_movesOnlyItsSlices() {
        Fixture fixture = Fixture.of(20, 20, 20).lose("s1");
        List<Move> moves = fixture.step();
        assertThat(moves).hasSize(20);
        assertThat(moves.stream().allMatch(m -> m.from().equals("s1"))).isTrue();
        assertThat(fixture.step()).isEmpty();
        assertThat(fixture.load("s0")).isEqualTo(30);
    }

    @Test
    void plan_hysteresis_startsAndStops() {
        BalanceInput.Builder between = Fixture.of(54, 46).input();
        assertThat(LOAD.plan(between.build()).moves()).isEmpty();
        assertThat(LOAD.plan(between.isRebalancing(true).build()).moves()).isNotEmpty();
        assertThat(Fixture.of(56, 44).settle()).isEqualTo(4);
    }

    @Test
    void plan_gainBelowCost_movesNothing() {
        Fixture fixture = Fixture.of(0, 0).slices("s0", 1, 120).slices("s0", 3, 0.2);
        assertThat(fixture.slices("s1", 1, 80).step()).isEmpty();
    }

    @Test
    void plan_minuteUsedUp_movesNothingForBalance() {
        BalanceInput.Builder input = Fixture.of(100, 0, 0, 0).input();
        assertThat(LOAD.plan(input.movesInLastMinute(30).build()).moves()).hasSize(2);
        BalancePlan plan = LOAD.plan(input.movesInLastMinute(32).build());
        assertThat(plan).isEqualTo(new BalancePlan(ImmutableList.of(), true));
    }

    @Test
    void plan_bigMoveInFlight_startsNoSecondOne() {
        BalanceInput.Builder input = Fixture.of(6, 0, 0).input();
        List<Move> moves = LOAD.plan(input.build()).moves();
        assertThat(moves).hasSize(1);
        assertThat(LOAD.plan(input.inFlight(moves).build()).moves()).isEmpty();
    }

    @Test
    void plan_drain_sparesColdServers() {
        Fixture fixture = Fixture.of(60, 0).server("cold", Condition.COLD);
        fixture.server("leaving", Condition.DRAINING).slices("leaving", 40, 1);
        List<Move> moves = fixture.step();
        assertThat(moves.stream().allMatch(m -> m.reason() == MoveReason.DRAIN)).isTrue();
        assertThat(moves.stream().filter(m -> m.to().equals("cold")).count()).isEqualTo(1);
        assertThat(moves.stream().filter(m -> m.to().equals("s1")).count()).isEqualTo(4);
        fixture.settle();
        assertThat(fixture.load("leaving")).isEqualTo(0);
        assertThat(fixture.load("cold")).isAtMost(fixture.load("s0") / 2);
    }

    @Test
    void plan_drainNotComplete_startsNothingForBalance() {
        Fixture fixture = Fixture.of(60, 0).server("leaving", Condition.DRAINING);
        assertThat(fixture.slices("leaving", 1, 1).step()).hasSize(1);
        assertThat(fixture.step()).isNotEmpty();
    }

    @Test
    void plan_serverReturnsCold_receivesSlicesOneByOne() {
        Fixture fixture = Fixture.of(12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 12, 12);
        fixture.server("back", Condition.COLD);
        for (int i = 0; i < 3; i++) {
            List<Move> moves = fixture.step();
            assertThat(moves).hasSize(1);
            assertThat(moves.get(0).to()).isEqualTo("back");
        }
        fixture.settle();
        assertThat(fixture.load("back")).isAtMost(5);
    }

    @Test
    void plan_sliceInFlight_isNotMovedAgain() {
        Fixture fixture = Fixture.of(2, 0).lose("s0");
        Move move = new Move(0, "s0", "s1", MoveReason.OWNER_LOST);
        BalanceInput input = fixture.input().inFlight(ImmutableList.of(move)).build();
        assertThat(LOAD.plan(input).moves())
                .containsExactly(new Move(10, "s0", "s1", MoveReason.OWNER_LOST));
    }

    @Test
    void strategies_skewedLoad_differ() {
        Fixture fixture = Fixture.of(0, 30).slices("s0", 30, 3);
        BalanceInput input = fixture.input().build();
        assertThat(BalanceStrategy.EVEN_COUNT.plan(input).moves()).isEmpty();
        fixture.settle();
        assertThat(fixture.imbalance()).isAtMost(1.10);
    }

    /** Slices of at most 8% of a server's mean load: 20 per server, loads from 0.5 to 1.5. */
    @Property(seed = "42", tries = 100)
    void settle_smallSlices_endsWithinGoalAtLeastChurn(
            @ForAll @IntRange(min = 4, max = 24) int servers, @ForAll long seed) {
        Fixture fixture = Fixture.of(new int[servers]);
        Random random = new Random(seed);
        for (int i = 0; i < servers * 20; i++) {
            fixture.slices("s" + random.nextInt(servers), 1, 0.5 + random.nextDouble());
        }
        fixture.settle();
        assertThat(fixture.step()).isEmpty();
        assertThat(fixture.imbalance()).isAtMost(1.15);
        List<Move> moves = fixture.lose("s1").step();
        assertThat(moves.stream().allMatch(m -> m.from().equals("s1"))).isTrue();
        assertThat((double) fixture.settle()).isAtMost(0.1 * moves.size());
        assertThat(fixture.imbalance()).isAtMost(1.15);
    }
}

package org.geraniumusher.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

import org.geraniumusher.membership.MembershipCommand.Reason;
import org.geraniumusher.membership.SimulatedNetwork.Observed;
import org.junit.jupiter.api.Test;

/**
 * Guards against dead members that stay in use, live members that are declared dead, partitions
 * that never heal, and datagrams that outgrow their bound. Runs whole clusters on a paused clock.
 */
class FailureDetectionTest {
    private static final String VICTIM = "d3";

    /**
     * A member is missed by all probes of k periods with probability of about 0.37 to the k; 16
     * periods, 6 of suspicion and 8 of gossip make 30.
     */
    private static final int DETECTION_PERIODS = 30;

    @Property(seed = "42", tries = 60)
    void stop_randomLoss_deadEverywhereWithinBound(
            @ForAll @IntRange(min = 11, max = 50) int members,
            @ForAll long seed,
            @ForAll @DoubleRange(min = 0, max = 0.2) double loss) {
        SimulatedNetwork network = SimulatedNetwork.joined(members, seed);
        assertThat(network.isConverged()).isTrue();
        network.setLoss(loss);
        network.stop(VICTIM);
        network.run(DETECTION_PERIODS);
        for (String by : network.names()) {
            assertWithMessage(by).that(network.state(by, VICTIM)).isEqualTo(MemberState.DEAD);
        }
        network.setLoss(0);
        network.run(DETECTION_PERIODS);
        assertThat(network.isConverged()).isTrue();
        assertThat(network.largestBytes()).isAtMost(FailureDetector.MAX_DATAGRAM_BYTES);
    }

    /** Replays a case in which one of 29 members had heard of the suspicion too late. */
    @Test
    void stop_suspicionHeardLate_deadEverywhereWithinBound() {
        stop_randomLoss_deadEverywhereWithinBound(29, 0, 0.15);
        stop_randomLoss_deadEverywhereWithinBound(29, Long.MIN_VALUE, 0.15);
    }

    @Property(seed = "42", tries = 20)
    void setCut_onePathSilent_nobodySuspectsForLong(@ForAll long seed) {
        SimulatedNetwork network = SimulatedNetwork.joined(11, seed);
        network.forgetChanges();
        network.setCut((from, to) -> from.equals("d1") && to.equals(VICTIM));
        network.run(60);
        assertThat(network.changes()).isEmpty();
    }

    @Test
    void pause_longerThanPeriod_memberRefutesAndSuspectsNobody() {
        SimulatedNetwork network = SimulatedNetwork.joined(11, 7);
        network.pause(VICTIM);
        network.run(4);
        network.forgetChanges();
        network.resume(VICTIM);
        network.run(15);
        assertThat(network.isConverged()).isTrue();
        assertThat(network.changes().stream().noneMatch(o -> isLoss(o, VICTIM))).isTrue();
        assertThat(network.detector("d0").find(VICTIM).get().refutation()).isAtLeast(1);
    }

    @Test
    void pause_untilDeclaredDead_memberComesBackInSameIncarnation() {
        SimulatedNetwork network = SimulatedNetwork.joined(11, 8);
        network.pause(VICTIM);
        network.run(DETECTION_PERIODS);
        assertThat(network.state("d0", VICTIM)).isEqualTo(MemberState.DEAD);
        network.resume(VICTIM);
        network.run(15);
        assertThat(network.isConverged()).isTrue();
        long incarnation = network.detector("d0").find(VICTIM).get().member().incarnation();
        assertThat(incarnation).isEqualTo(1_003);
    }

    @Test
    void start_newIncarnation_supersedesOldEverywhere() {
        SimulatedNetwork network = SimulatedNetwork.joined(11, 9);
        network.stop(VICTIM);
        network.run(2);
        network.start(VICTIM, 5_000);
        network.run(15);
        assertThat(network.isConverged()).isTrue();
        for (String by : network.names()) {
            assertThat(network.detector(by).find(VICTIM).get().member().incarnation())
                    .isEqualTo(5_000);
        }
    }

    @Test
    void setCut_halvesSeparated_healAfterwards() {
        SimulatedNetwork network = SimulatedNetwork.joined(12, 10);
        network.setCut((from, to) -> isEven(from) != isEven(to));
        network.run(60);
        assertThat(network.detector("d0").alive()).hasSize(6);
        network.setCut((from, to) -> false);
        network.run(60);
        assertThat(network.isConverged()).isTrue();
    }

    @Test
    void onLeave_othersStopUsingIt_withoutSuspicion() {
        SimulatedNetwork network = SimulatedNetwork.joined(11, 11);
        network.forgetChanges();
        network.perform(VICTIM, network.detector(VICTIM).onLeave(network.now()));
        network.run(6);
        network.stop(VICTIM);
        network.run(10);
        for (String by : network.names()) {
            assertThat(network.state(by, VICTIM)).isEqualTo(MemberState.LEFT);
        }
        assertThat(network.changes().stream().allMatch(o -> isLeave(o, VICTIM))).isTrue();
    }

    private static boolean isLeave(Observed observed, String name) {
        return observed.change().member().name().equals(name)
                && observed.change().reason() == Reason.LEAVING;
    }

    private static boolean isLoss(Observed observed, String by) {
        MemberState state = observed.change().state();
        return observed.by().equals(by) && state != MemberState.ALIVE;
    }

    private static boolean isEven(String name) {
        return Integer.parseInt(name.substring(1)) % 2 == 0;
    }
}

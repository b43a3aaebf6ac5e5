package org.geraniumusher.experiments;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against runs that depend on anything but their seed, and against lost calls. */
class ClusterRunTest {
    @ParameterizedTest
    @EnumSource(
            value = Scenario.class,
            names = {"STEADY", "SLOWED_2", "SUDDENLY_COLD"})
    void run_sameSeed_sameFigures(Scenario scenario) {
        RunResults first = run(scenario);
        RunResults second = run(scenario);
        assertThat(first.percentileMillis(99)).isEqualTo(second.percentileMillis(99));
        assertThat(first.sentPerCall()).isEqualTo(second.sentPerCall());
        double answered = first.inTimeShare() + first.refusedShare();
        assertThat(answered).isWithin(0.01).of(1);
    }

    private static RunResults run(Scenario scenario) {
        Deployment deployment = Deployment.VATULELE;
        return new ClusterRun(deployment, deployment.services().get(1), Policy.ROUTER, scenario, 11)
                .run();
    }
}

package org.geraniumusher.experiments;

import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/**
 * Names the rows of the table: a figure per seed, with the goal of section 1.2 where it has one.
 */
enum Measure {
    IMBALANCE("imbalance, requests per second", 1.15, 2, m -> of(m, Scenario.STEADY).imbalance()),
    P50("p50 steady, ms", 0, 1, m -> of(m, Scenario.STEADY).percentileMillis(50)),
    P99("p99 steady, ms", 0, 1, m -> steadyMillis(m)),
    SLOWED_1_MILLIS("p99, 1 server slowed, ms", 0, 1, m -> p99(m, Scenario.SLOWED_1)),
    SLOWED_2_MILLIS("p99, 2 servers slowed, ms", 0, 1, m -> p99(m, Scenario.SLOWED_2)),
    SLOWED_4_MILLIS("p99, 4 servers slowed, ms", 0, 1, m -> p99(m, Scenario.SLOWED_4)),
    SLOWED_1_P50("p50, 1 server slowed, ms", 0, 1, m -> p50(m, Scenario.SLOWED_1)),
    SLOWED_2_P50("p50, 2 servers slowed, ms", 0, 1, m -> p50(m, Scenario.SLOWED_2)),
    SLOWED_4_P50("p50, 4 servers slowed, ms", 0, 1, m -> p50(m, Scenario.SLOWED_4)),
    SLOWED_1("p99, 1 slowed / steady", 0, 2, m -> p99(m, Scenario.SLOWED_1) / steadyMillis(m)),
    SLOWED_2("p99, 2 slowed / steady", 2, 2, m -> p99(m, Scenario.SLOWED_2) / steadyMillis(m)),
    SLOWED_4("p99, 4 slowed / steady", 0, 2, m -> p99(m, Scenario.SLOWED_4) / steadyMillis(m)),
    MOMENTS(
            "p99, slow moments / steady",
            0,
            2,
            m -> p99(m, Scenario.SLOW_MOMENTS) / steadyMillis(m)),
    DEPARTURE("p99, departure and return / steady", 1.5, 2, m -> departure(m, false)),
    DEPARTURE_WORST("p99, worst 5 s of it / steady", 1.5, 2, m -> departure(m, true)),
    IN_TIME("in time through it, %", 0, 3, m -> 100 * leaving(m).inTimeShare()),
    REFUSED("refused through it, %", 0, 3, m -> 100 * leaving(m).refusedShare()),
    CUT("cut through it, requests", Double.MIN_VALUE, 0, m -> leaving(m).cut()),
    COLD("cold load / bearable, return", 1, 2, m -> leaving(m).coldExcess()),
    COLD_SUDDEN("cold load / bearable, unannounced", 1, 2, m -> cold(m).coldExcess()),
    COLD_LATE("cold load / bearable, unannounced, after 1 s", 1, 2, m -> cold(m).lateExcess()),
    COLD_P99(
            "p99, unannounced cold / steady",
            0,
            2,
            m -> cold(m).percentileMillis(99) / steadyMillis(m)),
    OVERLOAD_SENT("sent per request, overload 1.5", 1.1, 3, m -> overload(m).sentPerCall()),
    OVERLOAD_IN_TIME("in time, overload 1.5, %", 0, 1, m -> 100 * overload(m).inTimeShare()),
    OVERLOAD_P99("p99, overload 1.5, ms", 0, 1, m -> overload(m).percentileMillis(99));

    private final String mTitle;
    private final double mGoal;
    private final int mDigits;
    private final ToDoubleFunction<Map<Scenario, RunResults>> mFigure;

    /** A goal of 0 means none; the smallest positive number means that the figure must be 0. */
    Measure(
            String title,
            double goal,
            int digits,
            ToDoubleFunction<Map<Scenario, RunResults>> figure) {
        mTitle = title;
        mGoal = goal;
        mDigits = digits;
        mFigure = figure;
    }

    String title() {
        return mTitle;
    }

    int digits() {
        return mDigits;
    }

    /**
     * Returns the highest figure that meets the goal; that for slowed servers is of unkeyed ones.
     */
    OptionalDouble goal(Deployment.ServiceSize size) {
        if (mGoal == 0 || (this == SLOWED_2 && size.keyed())) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(mGoal == Double.MIN_VALUE ? 0 : mGoal);
    }

    double of(Map<Scenario, RunResults> runs) {
        return mFigure.applyAsDouble(runs);
    }

    private static RunResults of(Map<Scenario, RunResults> runs, Scenario scenario) {
        return runs.get(scenario);
    }

    private static double p50(Map<Scenario, RunResults> runs, Scenario scenario) {
        return of(runs, scenario).percentileMillis(50);
    }

    private static double p99(Map<Scenario, RunResults> runs, Scenario scenario) {
        return of(runs, scenario).percentileMillis(99);
    }

    private static double steadyMillis(Map<Scenario, RunResults> runs) {
        return p99(runs, Scenario.STEADY);
    }

    private static RunResults leaving(Map<Scenario, RunResults> runs) {
        return of(runs, Scenario.DEPARTURE_AND_RETURN);
    }

    private static RunResults cold(Map<Scenario, RunResults> runs) {
        return of(runs, Scenario.SUDDENLY_COLD);
    }

    private static RunResults overload(Map<Scenario, RunResults> runs) {
        return of(runs, Scenario.OVERLOAD);
    }

    private static double departure(Map<Scenario, RunResults> runs, boolean worst) {
        RunResults run = leaving(runs);
        double millis = worst ? run.worstWindowMillis(99) : run.percentileMillis(99);
        return millis / steadyMillis(runs);
    }
}

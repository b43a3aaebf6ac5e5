package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Lists how fast the routes spend their error budgets. Immutable and thread-safe.
 *
 * @param atMillis wall-clock time of the report, in milliseconds since 1970
 * @param sources daemons, counted by incarnation, whose requests are contained
 * @param untracked requests that were not counted because there were too many routes
 */
public record BurnReport(long atMillis, int sources, long untracked, List<RouteBurn> routes) {
    /** Copies the list. */
    public BurnReport {
        routes = ImmutableList.copyOf(routes);
    }

    /**
     * Describes one route. A burn rate of 1 spends the error budget exactly in its period.
     *
     * @param objective share of requests that must be good
     * @param shortGood good requests of the last 5 minutes
     * @param shortTotal all requests of the last 5 minutes
     * @param longGood good requests of the last hour
     * @param longTotal all requests of the last hour
     * @param alert whether the rates of both windows reach the threshold
     * @param byMinute burn rate of each of the last 61 minutes, oldest first
     */
    public record RouteBurn(
            String route,
            double objective,
            long shortGood,
            long shortTotal,
            double shortBurn,
            long longGood,
            long longTotal,
            double longBurn,
            boolean alert,
            List<Double> byMinute) {
        /** Checks the objective and copies the list. */
        public RouteBurn {
            checkArgument(objective > 0 && objective < 1, "bad objective: %s", objective);
            byMinute = ImmutableList.copyOf(byMinute);
        }
    }
}

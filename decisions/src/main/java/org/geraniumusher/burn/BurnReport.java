package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Lists the error-budget burn rate of each route. Immutable and thread-safe.
 *
 * @param atMillis wall-clock time of the report, in milliseconds since 1970
 * @param sources number of daemon incarnations whose requests are included
 * @param untracked number of requests of this daemon that were not counted because it already
 *     tracked {@link BurnSummary#MAX_ROUTES} routes
 */
public record BurnReport(long atMillis, int sources, long untracked, List<RouteBurn> routes) {
    /** Makes an immutable copy of the list. */
    public BurnReport {
        routes = ImmutableList.copyOf(routes);
    }

    /**
     * Burn rates of one route. A burn rate of 1 consumes the error budget exactly within the period
     * of the objective.
     *
     * @param objective required fraction of good requests, between 0 and 1
     * @param shortGood good requests in the last 5 minutes
     * @param shortTotal all requests in the last 5 minutes
     * @param shortBurn burn rate over the last 5 minutes
     * @param longGood good requests in the last hour
     * @param longTotal all requests in the last hour
     * @param longBurn burn rate over the last hour
     * @param alert whether both burn rates reach {@link BurnRates#ALERT_BURN_RATE}
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
        /** Checks the objective and makes an immutable copy of the list. */
        public RouteBurn {
            checkArgument(
                    objective > 0 && objective < 1,
                    "objective is not between 0 and 1: %s",
                    objective);
            byMinute = ImmutableList.copyOf(byMinute);
        }
    }
}

package org.geraniumusher.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Maps;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.burn.BurnSummary;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts the requests of each route against the objective of the route and records their latencies
 * as metrics. Thread-safe.
 */
public final class ServiceLevelTracker {
    /** Maximum number of routes with a timer of their own, 150 KB each; other routes share one. */
    static final int MAX_ROUTE_TIMERS = 16;

    private static final String SHARED_TIMER_NAME = "requests.other";

    private final BurnRates mBurnRates;
    private final MetricRegistry mRegistry;
    private final LongSupplier mNanoClock;
    private final LongSupplier mMillisClock;
    private final Map<String, Timer> mTimersByRoute = new HashMap<>();
    private Map<String, Objective> mObjectivesByRoute = Map.of();

    /**
     * The service-level objective of a route. Immutable.
     *
     * @param successShare share of requests that must be good, between 0 and 1
     * @param latencyNanos maximum latency of a good request, in nanoseconds
     */
    public record Objective(double successShare, long latencyNanos) {}

    /**
     * Creates a tracker without objectives.
     *
     * @param daemon name of this daemon
     * @param incarnation start time of this daemon, which distinguishes its incarnations
     * @param registry registry that receives the latency timers
     * @param nanoClock monotonic clock in nanoseconds, by which old latencies expire
     * @param millisClock wall clock in milliseconds since 1970, by which requests are counted per
     *     minute
     */
    public ServiceLevelTracker(
            String daemon,
            long incarnation,
            MetricRegistry registry,
            LongSupplier nanoClock,
            LongSupplier millisClock) {
        mBurnRates = BurnRates.create(daemon, incarnation);
        mRegistry = checkNotNull(registry);
        mNanoClock = checkNotNull(nanoClock);
        mMillisClock = checkNotNull(millisClock);
    }

    /**
     * Replaces the objectives of all routes. Requests of a route without an objective are timed but
     * not counted.
     */
    public synchronized void setObjectives(Map<String, Objective> objectives) {
        mObjectivesByRoute = Map.copyOf(objectives);
    }

    /**
     * Records a completed request of a caller. The request is good if it succeeded within the
     * latency of the route's objective.
     */
    public void recordRequest(String route, boolean succeeded, long latencyNanos) {
        synchronized (this) {
            timerOf(route).update(latencyNanos, TimeUnit.NANOSECONDS);
            Objective objective = mObjectivesByRoute.get(route);
            if (objective != null) {
                long good = succeeded && latencyNanos <= objective.latencyNanos() ? 1 : 0;
                mBurnRates.record(route, good, 1, mMillisClock.getAsLong());
            }
        }
    }

    /** Returns the requests counted by this daemon. */
    public synchronized BurnSummary summary() {
        return mBurnRates.summary(mMillisClock.getAsLong());
    }

    /**
     * Replaces the counts kept for another daemon or for an earlier incarnation of this daemon.
     * Ignores a summary of this incarnation, one that is older than an hour or than the kept one,
     * and one beyond {@link BurnRates#MAX_SOURCES} sources.
     */
    public synchronized void acceptSummary(BurnSummary summary) {
        mBurnRates.accept(summary, mMillisClock.getAsLong());
    }

    /** Returns the summaries of other daemons and of earlier incarnations of this daemon. */
    public synchronized ImmutableList<BurnSummary> otherSummaries() {
        return mBurnRates.remoteSummaries();
    }

    /** Returns the burn rates over this daemon's own requests and all accepted summaries. */
    public synchronized BurnReport report() {
        return mBurnRates.report(
                Maps.transformValues(mObjectivesByRoute, Objective::successShare),
                mMillisClock.getAsLong());
    }

    private Timer timerOf(String route) {
        Timer timer = mTimersByRoute.get(route);
        if (timer == null) {
            String name =
                    mTimersByRoute.size() < MAX_ROUTE_TIMERS
                            ? "requests." + route
                            : SHARED_TIMER_NAME;
            timer = mRegistry.timer(name, () -> new Timer(HdrReservoir.create(mNanoClock)));
            if (mTimersByRoute.size() < MAX_ROUTE_TIMERS) {
                mTimersByRoute.put(route, timer);
            }
        }
        return timer;
    }
}

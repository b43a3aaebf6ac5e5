package org.geraniumusher.daemon;

import static com.google.common.base.Preconditions.checkNotNull;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import com.google.common.collect.ImmutableList;

import org.geraniumusher.burn.BurnRates;
import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.Route;
import org.geraniumusher.operator.HdrReservoir;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Counts the requests of each route against its objective and keeps their latencies as metrics.
 * Thread-safe.
 */
final class ServiceLevels implements RequestObserver {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final BurnRates mRates;
    private final MetricRegistry mMetrics;
    private final LongSupplier mNanoClock;
    private final LongSupplier mMillisClock;
    private Map<String, Double> mObjectives = Map.of();
    private Map<String, Long> mLatencyBounds = Map.of();

    ServiceLevels(
            String daemon,
            long incarnation,
            MetricRegistry metrics,
            LongSupplier nanoClock,
            LongSupplier millisClock) {
        mRates = BurnRates.create(daemon, incarnation);
        mMetrics = checkNotNull(metrics);
        mNanoClock = checkNotNull(nanoClock);
        mMillisClock = checkNotNull(millisClock);
    }

    /** Takes the objectives of the routes. */
    synchronized void onConfiguration(Configuration configuration) {
        Map<String, Double> objectives = new HashMap<>();
        Map<String, Long> bounds = new HashMap<>();
        for (Route route : configuration.routes()) {
            if (route.objective() != null) {
                objectives.put(route.name(), route.objective().successShare());
                bounds.put(route.name(), route.objective().latencyMillis() * NANOS_PER_MILLI);
            }
        }
        mObjectives = Map.copyOf(objectives);
        mLatencyBounds = Map.copyOf(bounds);
    }

    @Override
    public void ended(String route, boolean succeeded, long latencyNanos) {
        timer(route).update(latencyNanos, TimeUnit.NANOSECONDS);
        synchronized (this) {
            Long bound = mLatencyBounds.get(route);
            if (bound != null) {
                long good = succeeded && latencyNanos <= bound ? 1 : 0;
                mRates.record(route, good, 1, mMillisClock.getAsLong());
            }
        }
    }

    /** Returns what this daemon has counted. */
    synchronized BurnSummary summary() {
        return mRates.summary(mMillisClock.getAsLong());
    }

    /** Takes what another daemon, or a former run of this one, has counted. */
    synchronized void accept(BurnSummary summary) {
        mRates.accept(summary, mMillisClock.getAsLong());
    }

    /** Returns the kept summaries of other daemons and of former runs. */
    synchronized ImmutableList<BurnSummary> others() {
        return mRates.others();
    }

    /** Returns the burn rates over all summaries known here. */
    synchronized BurnReport report() {
        return mRates.report(mObjectives, mMillisClock.getAsLong());
    }

    private Timer timer(String route) {
        return mMetrics.timer(
                "requests." + route, () -> new Timer(HdrReservoir.create(mNanoClock)));
    }
}

package org.geraniumusher.burn;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Counts the requests of this daemon per route, keeps the summaries of other daemons, and reports
 * burn rates over both.
 *
 * <p>The alert follows "The Site Reliability Workbook" (Beyer, Murphy, Rensin, Kawahara, Thorne;
 * 2018), chapter 5, "Multiwindow, Multi-Burn-Rate Alerts": the burn rates over 1 h and over 5 min
 * both reach 14.4, the rate that spends 2% of a budget of 30 days in one hour. The short window
 * ends the alert soon after the fault has ended.
 *
 * <p>Times are wall-clock milliseconds, so that counts of different daemons can be added by minute;
 * windows consist of full minutes and the running one. At most {@link BurnSummary#MAX_ROUTES}
 * routes and {@link #MAX_SOURCES} sources are kept. Not thread-safe; reads no clock.
 */
public final class BurnRates {
    /** Burn rate at which both windows must arrive. */
    public static final double ALERT_RATE = 14.4;

    /** Summaries of other daemons that are kept at most. */
    public static final int MAX_SOURCES = 256;

    static final int SHORT_MINUTES = 5;
    static final int LONG_MINUTES = 60;
    private static final long MINUTE_MILLIS = 60_000;

    private final String mDaemon;
    private final long mIncarnation;
    private final Map<String, MinuteCounts> mOwn = new TreeMap<>();
    private final List<BurnSummary> mOthers = new ArrayList<>();
    private long mUntracked;

    private BurnRates(String daemon, long incarnation) {
        mDaemon = checkNotNull(daemon);
        mIncarnation = incarnation;
    }

    /** Returns empty counters of an incarnation of a daemon. */
    public static BurnRates create(String daemon, long incarnation) {
        return new BurnRates(daemon, incarnation);
    }

    /** Adds requests of a route, of which {@code good} met the objective. */
    public void record(String route, long good, long total, long nowMillis) {
        checkArgument(good >= 0 && good <= total, "%s good of %s requests", good, total);
        MinuteCounts counts = mOwn.get(route);
        if (counts == null && !hasRoomForRoute(nowMillis)) {
            mUntracked += total;
            return;
        }
        if (counts == null) {
            counts = new MinuteCounts();
            mOwn.put(route, counts);
        }
        counts.add(minuteOf(nowMillis), good, total);
    }

    /** Returns this daemon's own counts. */
    public BurnSummary summary(long nowMillis) {
        ImmutableSortedMap.Builder<String, RouteMinutes> routes = ImmutableSortedMap.naturalOrder();
        mOwn.forEach((route, counts) -> routes.put(route, counts.toMinutes(minuteOf(nowMillis))));
        return new BurnSummary(mDaemon, mIncarnation, nowMillis, routes.build());
    }

    /**
     * Keeps a summary of another source; returns false when it is this daemon's own, older than the
     * one that is kept, older than an hour, or one too many.
     */
    public boolean accept(BurnSummary summary, long nowMillis) {
        mOthers.removeIf(other -> isExpired(other, nowMillis));
        if (summary.source().equals(mDaemon) && summary.incarnation() == mIncarnation) {
            return false;
        }
        boolean outdated =
                mOthers.stream()
                        .anyMatch(o -> o.hasSourceOf(summary) && o.atMillis() > summary.atMillis());
        if (outdated || isExpired(summary, nowMillis)) {
            return false;
        }
        mOthers.removeIf(other -> other.hasSourceOf(summary));
        return mOthers.size() < MAX_SOURCES && mOthers.add(summary);
    }

    /** Returns the summaries of other daemons, to be handed on when this daemon leaves. */
    public ImmutableList<BurnSummary> others() {
        return ImmutableList.copyOf(mOthers);
    }

    /** Reports the routes that have an objective, given as the share of good requests. */
    public BurnReport report(Map<String, Double> objectives, long nowMillis) {
        List<BurnSummary> all = new ArrayList<>(mOthers);
        all.removeIf(other -> isExpired(other, nowMillis));
        all.add(summary(nowMillis));
        ImmutableList.Builder<BurnReport.RouteBurn> rows = ImmutableList.builder();
        new TreeMap<>(objectives)
                .forEach(
                        (route, objective) -> {
                            Optional<RouteMinutes> sum = sumOf(route, all, minuteOf(nowMillis));
                            sum.ifPresent(counts -> rows.add(toRow(route, objective, counts)));
                        });
        return new BurnReport(nowMillis, all.size(), mUntracked, rows.build());
    }

    private boolean hasRoomForRoute(long nowMillis) {
        if (mOwn.size() == BurnSummary.MAX_ROUTES) {
            mOwn.values().removeIf(counts -> counts.toMinutes(minuteOf(nowMillis)).isEmpty());
        }
        return mOwn.size() < BurnSummary.MAX_ROUTES;
    }

    /** Aligns each summary to the present minute: a clock that is ahead must not hide others. */
    private static Optional<RouteMinutes> sumOf(
            String route, List<BurnSummary> summaries, long minute) {
        return summaries.stream()
                .map(summary -> summary.routes().get(route))
                .filter(Objects::nonNull)
                .map(counts -> counts.at(minute))
                .reduce(RouteMinutes::plus);
    }

    private static BurnReport.RouteBurn toRow(String route, double objective, RouteMinutes counts) {
        long shortGood = counts.goodOfLast(SHORT_MINUTES);
        long shortTotal = counts.totalOfLast(SHORT_MINUTES);
        long longGood = counts.goodOfLast(LONG_MINUTES);
        long longTotal = counts.totalOfLast(LONG_MINUTES);
        double shortBurn = burn(objective, shortGood, shortTotal);
        double longBurn = burn(objective, longGood, longTotal);
        return new BurnReport.RouteBurn(
                route,
                objective,
                shortGood,
                shortTotal,
                shortBurn,
                longGood,
                longTotal,
                longBurn,
                shortBurn >= ALERT_RATE && longBurn >= ALERT_RATE,
                byMinute(objective, counts));
    }

    private static ImmutableList<Double> byMinute(double objective, RouteMinutes counts) {
        ImmutableList.Builder<Double> rates = ImmutableList.builder();
        for (int i = 0; i < RouteMinutes.MINUTES; i++) {
            rates.add(burn(objective, counts.good().get(i), counts.total().get(i)));
        }
        return rates.build();
    }

    private static double burn(double objective, long good, long total) {
        return total == 0 ? 0 : (total - good) / (double) total / (1 - objective);
    }

    private static boolean isExpired(BurnSummary summary, long nowMillis) {
        return summary.atMillis() < nowMillis - RouteMinutes.MINUTES * MINUTE_MILLIS;
    }

    private static long minuteOf(long millis) {
        return Math.floorDiv(millis, MINUTE_MILLIS);
    }
}

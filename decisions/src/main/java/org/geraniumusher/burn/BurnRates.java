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
 * Counts the requests that this daemon handles per route, keeps the latest summary of every other
 * daemon, and computes burn rates from the sum of both.
 *
 * <p>The alert follows "The Site Reliability Workbook" (Beyer, Murphy, Rensin, Kawahara, Thorne;
 * 2018), chapter 5, "Multiwindow, Multi-Burn-Rate Alerts": an alert fires while the burn rates over
 * 1 h and over 5 min are both at least 14.4, the rate that consumes 2% of a 30-day error budget in
 * one hour. The short window resets the alert soon after the fault has ended.
 *
 * <p>Times are wall-clock milliseconds, so that counts of different daemons can be added up minute
 * by minute. A window consists of its full minutes and the current, partial one. At most {@link
 * BurnSummary#MAX_ROUTES} routes and {@link #MAX_SOURCES} summaries of other daemons are kept. Not
 * thread-safe; reads no clock.
 */
public final class BurnRates {
    /** Burn rate that both windows must reach for an alert. */
    public static final double ALERT_BURN_RATE = 14.4;

    /** Maximum number of summaries of other daemons that are kept. */
    public static final int MAX_SOURCES = 256;

    static final int SHORT_WINDOW_MINUTES = 5;
    static final int LONG_WINDOW_MINUTES = 60;
    private static final long MILLIS_PER_MINUTE = 60_000;

    private final String mDaemon;
    private final long mIncarnation;
    private final Map<String, RequestCountRing> mOwnCounts = new TreeMap<>();
    private final List<BurnSummary> mRemoteSummaries = new ArrayList<>();
    private long mUntrackedRequests;

    private BurnRates(String daemon, long incarnation) {
        mDaemon = checkNotNull(daemon);
        mIncarnation = incarnation;
    }

    /** Creates empty counters for one incarnation of a daemon. */
    public static BurnRates create(String daemon, long incarnation) {
        return new BurnRates(daemon, incarnation);
    }

    /** Adds {@code total} requests of a route, of which {@code good} met the objective. */
    public void record(String route, long good, long total, long nowMillis) {
        checkArgument(good >= 0 && good <= total, "%s good of %s requests", good, total);
        RequestCountRing counts = mOwnCounts.get(route);
        if (counts == null && !hasRoomForRoute(nowMillis)) {
            mUntrackedRequests += total;
            return;
        }
        if (counts == null) {
            counts = new RequestCountRing();
            mOwnCounts.put(route, counts);
        }
        counts.add(minuteOf(nowMillis), good, total);
    }

    /** Returns a summary of the requests counted by this daemon. */
    public BurnSummary summary(long nowMillis) {
        ImmutableSortedMap.Builder<String, RequestCounts> routes =
                ImmutableSortedMap.naturalOrder();
        mOwnCounts.forEach(
                (route, counts) -> routes.put(route, counts.snapshot(minuteOf(nowMillis))));
        return new BurnSummary(mDaemon, mIncarnation, nowMillis, routes.build());
    }

    /**
     * Stores a summary of another source in place of its earlier one. Returns false, and drops the
     * summary, if it comes from this incarnation of this daemon, is older than the stored summary
     * of its source, has expired, or would exceed {@link #MAX_SOURCES}.
     */
    public boolean accept(BurnSummary summary, long nowMillis) {
        mRemoteSummaries.removeIf(other -> isExpired(other, nowMillis));
        if (summary.source().equals(mDaemon) && summary.incarnation() == mIncarnation) {
            return false;
        }
        boolean outdated =
                mRemoteSummaries.stream()
                        .anyMatch(
                                o ->
                                        o.hasSameSourceAs(summary)
                                                && o.atMillis() > summary.atMillis());
        if (outdated || isExpired(summary, nowMillis)) {
            return false;
        }
        mRemoteSummaries.removeIf(other -> other.hasSameSourceAs(summary));
        return mRemoteSummaries.size() < MAX_SOURCES && mRemoteSummaries.add(summary);
    }

    /** Returns the stored summaries of other daemons, for transfer when this daemon shuts down. */
    public ImmutableList<BurnSummary> remoteSummaries() {
        return ImmutableList.copyOf(mRemoteSummaries);
    }

    /**
     * Computes the burn rates of all routes that have an objective.
     *
     * @param objectives required fraction of good requests, between 0 and 1, by route name
     */
    public BurnReport report(Map<String, Double> objectives, long nowMillis) {
        List<BurnSummary> all = new ArrayList<>(mRemoteSummaries);
        all.removeIf(other -> isExpired(other, nowMillis));
        all.add(summary(nowMillis));
        ImmutableList.Builder<BurnReport.RouteBurn> rows = ImmutableList.builder();
        new TreeMap<>(objectives)
                .forEach(
                        (route, objective) -> {
                            Optional<RequestCounts> sum = sumOf(route, all, minuteOf(nowMillis));
                            sum.ifPresent(counts -> rows.add(toRow(route, objective, counts)));
                        });
        return new BurnReport(nowMillis, all.size(), mUntrackedRequests, rows.build());
    }

    private boolean hasRoomForRoute(long nowMillis) {
        if (mOwnCounts.size() == BurnSummary.MAX_ROUTES) {
            mOwnCounts.values().removeIf(counts -> counts.snapshot(minuteOf(nowMillis)).isEmpty());
        }
        return mOwnCounts.size() < BurnSummary.MAX_ROUTES;
    }

    /**
     * Adds up the counts of one route. Each summary is aligned to {@code minute} first: the sum of
     * two summaries ends at the later one, so a daemon whose clock is ahead would otherwise push
     * the counts of the others out of the window.
     */
    private static Optional<RequestCounts> sumOf(
            String route, List<BurnSummary> summaries, long minute) {
        return summaries.stream()
                .map(summary -> summary.routes().get(route))
                .filter(Objects::nonNull)
                .map(counts -> counts.alignedTo(minute))
                .reduce(RequestCounts::plus);
    }

    private static BurnReport.RouteBurn toRow(
            String route, double objective, RequestCounts counts) {
        long shortGood = counts.goodOfLast(SHORT_WINDOW_MINUTES);
        long shortTotal = counts.totalOfLast(SHORT_WINDOW_MINUTES);
        long longGood = counts.goodOfLast(LONG_WINDOW_MINUTES);
        long longTotal = counts.totalOfLast(LONG_WINDOW_MINUTES);
        double shortBurn = burnRate(objective, shortGood, shortTotal);
        double longBurn = burnRate(objective, longGood, longTotal);
        return new BurnReport.RouteBurn(
                route,
                objective,
                shortGood,
                shortTotal,
                shortBurn,
                longGood,
                longTotal,
                longBurn,
                shortBurn >= ALERT_BURN_RATE && longBurn >= ALERT_BURN_RATE,
                burnRatesByMinute(objective, counts));
    }

    private static ImmutableList<Double> burnRatesByMinute(double objective, RequestCounts counts) {
        ImmutableList.Builder<Double> rates = ImmutableList.builder();
        for (int i = 0; i < RequestCounts.MINUTES; i++) {
            rates.add(burnRate(objective, counts.good().get(i), counts.total().get(i)));
        }
        return rates.build();
    }

    private static double burnRate(double objective, long good, long total) {
        return total == 0 ? 0 : (total - good) / (double) total / (1 - objective);
    }

    private static boolean isExpired(BurnSummary summary, long nowMillis) {
        return summary.atMillis() < nowMillis - RequestCounts.MINUTES * MILLIS_PER_MINUTE;
    }

    private static long minuteOf(long millis) {
        return Math.floorDiv(millis, MILLIS_PER_MINUTE);
    }
}

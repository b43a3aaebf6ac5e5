package org.geraniumusher.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.base.Ascii;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.keyrange.HoldEnd;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.operator.ServiceLevelTracker;
import org.geraniumusher.operator.ServiceLevelTracker.Objective;
import org.geraniumusher.traffic.RouteRule;
import org.geraniumusher.traffic.RouterConfig;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * Metrics of the daemon, and its counts of good and bad requests for the report on service levels.
 * Thread-safe.
 */
final class EntryMetrics {
    /** The project's target: fraction of requests answered within their route's latency goal. */
    private static final double SUCCESS_OBJECTIVE = 0.99;

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Counter mRequests = mRegistry.counter("requests");
    private final Counter mAbandoned = mRegistry.counter("requests.caller_left");
    private final Counter mInTime = mRegistry.counter("requests.answered_in_time");
    private final Counter mLate = mRegistry.counter("requests.answered_late");
    private final ServiceLevelTracker mServiceLevels;

    EntryMetrics(
            String daemon, long incarnation, LongSupplier nanoClock, LongSupplier millisClock) {
        mServiceLevels =
                new ServiceLevelTracker(daemon, incarnation, mRegistry, nanoClock, millisClock);
    }

    MetricRegistry registry() {
        return mRegistry;
    }

    /** Registers a gauge. Its value is read on the thread that reads the metrics. */
    void registerGauge(String name, IntSupplier value) {
        mRegistry.registerGauge(name, value::getAsInt);
    }

    /** Replaces the objectives of all routes by those of a configuration. */
    void updateObjectives(RouterConfig configuration) {
        Map<String, Objective> objectives = new HashMap<>();
        for (RouteRule route : configuration.routes()) {
            objectives.put(
                    route.name(), new Objective(SUCCESS_OBJECTIVE, route.latencyGoalNanos()));
        }
        mServiceLevels.setObjectives(objectives);
    }

    /** Counts a request that has arrived. */
    void onRequest() {
        mRequests.inc();
    }

    /** Counts a request whose connection closed before its response; it is neither good nor bad. */
    void onAbandoned() {
        mAbandoned.inc();
    }

    /**
     * Counts a connection of a caller that ended.
     *
     * @param unsent whether a response was not sent completely
     */
    void onCallerConnectionClosed(CallerConnection.CloseCause cause, boolean unsent) {
        String name = "callers.closed." + Ascii.toLowerCase(cause.name());
        mRegistry.counter(name).inc();
        if (unsent) {
            mRegistry.counter(name + ".unsent_response").inc();
        }
    }

    /** Counts a request that was answered with a response of a backend server. */
    void onAnswered(Exchange exchange, long nowNanos) {
        boolean inTime = nowNanos <= exchange.goalAtNanos();
        (inTime ? mInTime : mLate).inc();
        mServiceLevels.recordRequest(
                exchange.route().name(), true, nowNanos - exchange.arrivedAtNanos());
    }

    /**
     * Counts a request that was answered with an error of this daemon. It is bad if a route matched
     * and otherwise not part of the report.
     */
    void onFailed(Exchange exchange, ResultCode code, long nowNanos) {
        mRegistry.counter("requests.failed." + Ascii.toLowerCase(code.name())).inc();
        if (exchange.isRouted()) {
            mServiceLevels.recordRequest(
                    exchange.route().name(), false, nowNanos - exchange.arrivedAtNanos());
        }
    }

    /** Counts a request that was rejected because the memory for bodies had no room for its own. */
    void onBodyRejected() {
        mRegistry.counter("requests.body_rejected").inc();
    }

    /** Counts a notice that was not sent, since the peer has not answered those before. */
    void onNoticeDropped() {
        mRegistry.counter("notices.dropped").inc();
    }

    /** Counts a connection that could not be accepted. */
    void onAcceptFailure() {
        mRegistry.counter("connections.accept_failed").inc();
    }

    /** Counts a request that was not sent to the server chosen for it, as it no longer might be. */
    void onWithdrawn() {
        mRegistry.counter("requests.withdrawn").inc();
    }

    /** Counts a request that was rejected at once, since its key has its next owner too late. */
    void onNextOwnerTooLate() {
        mRegistry.counter("requests.next_owner_too_late").inc();
    }

    /** Counts an idle connection that was closed because the server sent bytes on it. */
    void onUnsolicitedBytes() {
        mRegistry.counter("connections.unsolicited").inc();
    }

    /** Counts a response that was skipped, since it isn't that to the request in flight. */
    void onSkippedResponse() {
        mRegistry.counter("responses.skipped").inc();
    }

    /** Counts a response with status 503 whose {@code Retry-After} is no time. */
    void onRetryAfterIgnored() {
        mRegistry.counter("responses.retry_after_ignored").inc();
    }

    /** Counts a server that crashed while it ran requests of this daemon. */
    void onCrash() {
        mRegistry.counter("servers.crashed").inc();
    }

    /** Counts a pause that a server asked for. */
    void onPause() {
        mRegistry.counter("servers.pauses").inc();
    }

    /** Counts a limit of a server that began. */
    void onLimitBegun() {
        mRegistry.counter("servers.limits").inc();
    }

    /** Counts an answer whose limit is no number. */
    void onLimitIgnored() {
        mRegistry.counter("responses.limit_ignored").inc();
    }

    /**
     * Counts an ask for permits of a limited server by its result, and the permits that it brought.
     *
     * @param result {@code booked}, {@code denied}, {@code ended} or {@code failed}
     */
    void onPermitsAsked(String result, int permits) {
        mRegistry.counter("permits.asked." + result).inc();
        mRegistry.counter("permits.booked").inc(permits);
    }

    /**
     * Counts a request that is passed on to a peer, and its result there.
     *
     * @param result {@code sent}, {@code answered}, {@code failed}, {@code not_sent} or {@code
     *     broken}
     */
    void onForward(String result) {
        mRegistry.counter("forwards." + result).inc();
    }

    /**
     * Counts a peer that was asked for newer copies of objects of the store, by its answer.
     *
     * @param result {@code newer}, {@code not_newer} or {@code failed}
     */
    void onCopyAsked(String result) {
        mRegistry.counter("copies.asked." + result).inc();
    }

    /** Counts a request of a peer that failed here; the peer counts it for its route. */
    void onFailedForPeer(ResultCode code) {
        mRegistry.counter("forwards.received_failed." + Ascii.toLowerCase(code.name())).inc();
    }

    /** Counts a time in which no server answers this daemon. */
    void onStranded() {
        mRegistry.counter("servers.all_unreached").inc();
    }

    /** Counts a server that said in an answer that it is leaving. */
    void onSaidLeaving() {
        mRegistry.counter("servers.said_leaving").inc();
    }

    /** Counts a response of a backend server that exceeded a limit. */
    void onResponseOverLimit(ResponseLimit limit) {
        mRegistry.counter(limit.counterName()).inc();
    }

    /** Counts a call of the daemon to a server, or a write of a table, by its result. */
    void onCall(String name, String result) {
        mRegistry.counter("calls." + name + "." + result).inc();
    }

    /** Counts a former holder of a range by the proof that ended its hold. */
    void onHoldEnded(HoldEnd end) {
        mRegistry.counter("holds.ended." + Ascii.toLowerCase(end.name())).inc();
    }

    /** Counts an owner whose grants failed until its hold ran out. */
    void onOwnerLost() {
        mRegistry.counter("owners.lost").inc();
    }

    /**
     * Counts a range that is granted again after the loss of its owner, by the time since the first
     * failed grant.
     */
    void onRangeRecovered(long lostNanos) {
        mRegistry.counter("ranges.recovered").inc();
        mRegistry.counter("ranges.recovered_ms").inc(TimeUnit.NANOSECONDS.toMillis(lostNanos));
    }

    /** Counts a call to the store by its operation, kind of object and result. */
    void onStoreCall(String operation, StoreKind kind, StoreResult result) {
        mRegistry
                .counter(
                        "store."
                                + operation
                                + "."
                                + Ascii.toLowerCase(kind.name())
                                + "."
                                + result.getClass().getSimpleName())
                .inc();
    }

    /** Returns the requests that this daemon has counted for the report on service levels. */
    BurnSummary burnSummary() {
        return mServiceLevels.summary();
    }

    /** Adds the summaries of other daemons and returns the burn rates of all known daemons. */
    BurnReport burnReport(List<BurnSummary> others) {
        others.forEach(mServiceLevels::acceptSummary);
        return mServiceLevels.report();
    }
}

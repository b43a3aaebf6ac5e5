package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.geraniumusher.http.HttpCall;
import org.geraniumusher.http.HttpClient;
import org.geraniumusher.http.HttpReply;
import org.geraniumusher.keyrange.CoordinatorRecord;
import org.geraniumusher.limit.LimitGate;
import org.geraniumusher.limit.NamedLimit;
import org.geraniumusher.limit.PermitLedger;
import org.geraniumusher.limit.PermitSchedule;
import org.geraniumusher.model.Address;
import org.geraniumusher.operator.Json;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Gets the permits for servers that have a limit from the coordinator, and gives them as the
 * coordinator. Passes on what daemons know of limits. Confined to the event loop.
 *
 * <p>Invariants: only a daemon that acts as the coordinator gives permits of the whole limit, so
 * that two never do. At most one call for each server is in flight. Times go between daemons as
 * ages: that of a limit is at most, that of its end at least the true one.
 */
final class LimitPermits implements ServerLimits.Listener {
    /** Path at which the coordinator gives permits. */
    static final String PATH = "/permits";

    /** Path at which the coordinator accepts the end of a limit. */
    static final String END_PATH = "/limit-end";

    /** Shorter than most requests may wait. */
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

    /** Delay in which the requests of one batch are collected for a call. */
    private static final long COLLECT_MILLIS = 1;

    /** Shortest time between two reports of the end of one limit. */
    private static final long REPORT_INTERVAL_NANOS = 300_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final DaemonContext mContext;
    private final CoordinatorService mCoordinator;
    private final UpstreamSet mUpstreams;
    private final ServerLimits mLimits;
    private final HttpClient mClient;
    private final IntSupplier mDaemonCount;
    private final Runnable mOnPermits;

    /** Servers for which requests wait for permits that were not asked for yet. */
    private final Set<Upstream> mWanting = new HashSet<>();

    /** Servers whose limit ended by an answer to this daemon, and when that was reported last. */
    private final Map<Upstream, Long> mUnreportedEnds = new HashMap<>();

    private boolean mAskScheduled;
    private Optional<PermitLedger> mLedger = Optional.empty();
    private long mLedgerTermNanos;
    private Runnable mBegunListener = () -> {};

    /**
     * Asks for permits.
     *
     * @param limit requests per second that the server named last, as far as the daemon knows
     * @param namedAgeMillis time since then at most
     * @param waitMillis the longest time for which one of the requests may wait
     */
    record Ask(
            String server,
            String daemon,
            double limit,
            long namedAgeMillis,
            int wanted,
            long waitMillis,
            int rank) {}

    /**
     * Gives permits, or says that the server has no limit any more.
     *
     * @param limited whether the server has a limit
     * @param limit requests per second that it takes
     * @param ageMillis time since it named the limit at most, or since that ended at least
     */
    record Reply(
            boolean limited,
            double limit,
            long ageMillis,
            int count,
            long delayMicros,
            long intervalMicros,
            long nextDelayMicros,
            int askers) {}

    /** Reports an answer without a limit to a request that was sent so long ago at least. */
    record End(String server, long sentAgeMillis) {}

    /** Says whether the coordinator knows by a report that the limit has ended. */
    record EndReply(boolean ended) {}

    /**
     * Creates the permits of a daemon.
     *
     * @param daemonCount returns the number of daemons, or 0 if it is not known
     * @param onPermits called when permits or the end of a limit may let waiting requests pass
     */
    LimitPermits(
            DaemonContext context,
            CoordinatorService coordinator,
            UpstreamSet upstreams,
            ServerLimits limits,
            HttpClient client,
            IntSupplier daemonCount,
            Runnable onPermits) {
        mContext = checkNotNull(context);
        mCoordinator = checkNotNull(coordinator);
        mUpstreams = checkNotNull(upstreams);
        mLimits = checkNotNull(limits);
        mClient = client;
        mDaemonCount = checkNotNull(daemonCount);
        mOnPermits = checkNotNull(onPermits);
        limits.setListener(this);
    }

    /** Sets what is run when this daemon learns of a limit, which other daemons should know. */
    void setBegunListener(Runnable listener) {
        mBegunListener = checkNotNull(listener);
    }

    @Override
    public void onBegun() {
        mBegunListener.run();
    }

    /** Records that a request waits for a permit of a server. */
    void want(Upstream upstream, long waitNanos, int rank) {
        upstream.load().gate().want(waitNanos, rank);
        askSoon(upstream);
    }

    /** Records that later requests could use a permit of a server. */
    void wantForLater(Upstream upstream) {
        upstream.load().gate().wantForLater(now());
        askSoon(upstream);
    }

    private long now() {
        return mContext.clock().getAsLong();
    }

    private void askSoon(Upstream upstream) {
        mWanting.add(upstream);
        if (!mAskScheduled) {
            mAskScheduled = true;
            mContext.thread().schedule(this::askAll, COLLECT_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void askAll() {
        mAskScheduled = false;
        Set<Upstream> wanting = Set.copyOf(mWanting);
        mWanting.clear();
        wanting.forEach(u -> u.load().gate().beginAsk(now()).ifPresent(ask -> ask(u, ask)));
    }

    private void ask(Upstream upstream, LimitGate.Ask ask) {
        long askedAt = now();
        NamedLimit limit = upstream.load().gate().limit();
        Ask call =
                new Ask(
                        upstream.entry().incarnationId(),
                        mContext.settings().name(),
                        limit.requestsPerSecond(),
                        TimeUnit.NANOSECONDS.toMillis(askedAt - limit.namedAtNanos()),
                        ask.wanted(),
                        TimeUnit.NANOSECONDS.toMillis(ask.waitNanos()),
                        ask.rank());
        if (mCoordinator.isActing()) {
            onReply(upstream, ask, askedAt, give(upstream, call));
            return;
        }
        callCoordinator(
                PATH,
                call,
                reply -> onReply(upstream, ask, askedAt, reply),
                () -> onNoAnswer(upstream, ask));
    }

    /** Calls the coordinator, if there is one; runs {@code onFailure} if it gives no answer. */
    private void callCoordinator(
            String path, Object body, Consumer<HttpReply> onReply, Runnable onFailure) {
        Optional<CoordinatorRecord> coordinator = mCoordinator.presentCoordinator();
        if (coordinator.isEmpty()) {
            onFailure.run();
            return;
        }
        mClient.call(
                        Address.of(coordinator.get().peerAddress()),
                        HttpCall.of("POST", path, Json.write(body)),
                        CALL_TIMEOUT)
                .whenComplete(
                        (reply, error) -> {
                            boolean answered = error == null && reply.status() == 200;
                            mContext.thread()
                                    .execute(answered ? () -> onReply.accept(reply) : onFailure);
                        });
    }

    private void onReply(Upstream upstream, LimitGate.Ask ask, long askedAt, HttpReply httpReply) {
        Reply reply;
        try {
            reply = Json.read(httpReply.text(), Reply.class);
        } catch (IllegalArgumentException e) {
            mContext.log()
                    .write(
                            DecisionLog.Part.PEER,
                            "Cannot decode permits",
                            "reason",
                            e.getMessage());
            onNoAnswer(upstream, ask);
            return;
        }
        onReply(upstream, ask, askedAt, reply);
    }

    private void onReply(Upstream upstream, LimitGate.Ask ask, long askedAt, Reply reply) {
        LimitGate gate = upstream.load().gate();
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(reply.ageMillis());
        if (reply.limited()) {
            mLimits.onNamed(upstream, reply.limit(), now() - ageNanos);
            gate.onBooked(grantOf(reply), now());
            mContext.metrics()
                    .onPermitsAsked(reply.count() == 0 ? "denied" : "booked", reply.count());
        } else {
            // The coordinator said so after this call was sent.
            mLimits.onEnded(upstream, askedAt - ageNanos);
            gate.onNoLimit();
            mContext.metrics().onPermitsAsked("ended", 0);
        }
        mOnPermits.run();
    }

    private static PermitLedger.Grant grantOf(Reply reply) {
        return new PermitLedger.Grant(
                new PermitSchedule.Booking(
                        reply.count(),
                        TimeUnit.MICROSECONDS.toNanos(reply.delayMicros()),
                        TimeUnit.MICROSECONDS.toNanos(reply.intervalMicros()),
                        TimeUnit.MICROSECONDS.toNanos(reply.nextDelayMicros())),
                reply.askers());
    }

    private void onNoAnswer(Upstream upstream, LimitGate.Ask ask) {
        upstream.load().gate().onNoAnswer(ask, mDaemonCount.getAsInt(), now());
        mContext.metrics().onPermitsAsked("failed", 0);
        mOnPermits.run();
    }

    /**
     * Replies to the ask of a peer: with status 503 if this daemon does not coordinate, and 404 if
     * it does not know the server.
     *
     * @throws IllegalArgumentException if the call is invalid
     */
    HttpReply reply(HttpCall call) {
        Ask ask = Json.read(call.text(), Ask.class);
        Upstream upstream = mUpstreams.get(ask.server());
        if (!mCoordinator.isActing()) {
            return HttpReply.of(503, "{}");
        }
        return upstream == null
                ? HttpReply.of(404, "{}")
                : HttpReply.of(200, Json.write(give(upstream, ask)));
    }

    private Reply give(Upstream upstream, Ask ask) {
        long now = now();
        NamedLimit limit = upstream.load().gate().limit();
        mLimits.onNamed(
                upstream,
                ask.limit(),
                now - TimeUnit.MILLISECONDS.toNanos(Math.max(0, ask.namedAgeMillis())));
        if (!limit.isActive()) {
            long endedAge = roundUpToMillis(now - limit.endedAtNanos());
            return new Reply(false, 0, endedAge, 0, 0, 0, 0, 0);
        }
        PermitLedger.Grant grant =
                ledger().book(
                                ask.server(),
                                ask.daemon(),
                                limit.permittedPerSecond(),
                                Math.max(0, ask.wanted()),
                                TimeUnit.MILLISECONDS.toNanos(ask.waitMillis()),
                                ask.rank(),
                                now);
        PermitSchedule.Booking booking = grant.booking();
        return new Reply(
                true,
                limit.requestsPerSecond(),
                TimeUnit.NANOSECONDS.toMillis(now - limit.namedAtNanos()),
                booking.count(),
                roundUpToMicros(booking.delayNanos()),
                roundUpToMicros(booking.intervalNanos()),
                roundUpToMicros(booking.nextDelayNanos()),
                grant.askers());
    }

    private static long roundUpToMillis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos) + 1;
    }

    private static long roundUpToMicros(long nanos) {
        return TimeUnit.NANOSECONDS.toMicros(nanos) + 1;
    }

    private PermitLedger ledger() {
        if (mLedger.isEmpty() || mLedgerTermNanos != mCoordinator.actingSinceNanos()) {
            mLedgerTermNanos = mCoordinator.actingSinceNanos();
            mLedger = Optional.of(new PermitLedger(mLedgerTermNanos));
        }
        return mLedger.get();
    }

    @Override
    public void onUnlimitedAnswer(Upstream upstream, long sentAtNanos) {
        NamedLimit limit = upstream.load().gate().limit();
        boolean hadLimit = !limit.isActive() && limit.endedAtNanos() == sentAtNanos;
        if (hadLimit) {
            mUnreportedEnds.keySet().removeIf(Upstream::isLeaving);
            mUnreportedEnds.put(upstream, now() - REPORT_INTERVAL_NANOS);
        }
        Long reportedAt = mUnreportedEnds.get(upstream);
        if (reportedAt == null) {
            return;
        }
        if (limit.isActive() || mCoordinator.isActing()) {
            mUnreportedEnds.remove(upstream);
        } else if (now() - reportedAt >= REPORT_INTERVAL_NANOS) {
            mUnreportedEnds.put(upstream, now());
            reportEnd(upstream, sentAtNanos);
        }
    }

    private void reportEnd(Upstream upstream, long sentAtNanos) {
        End end = new End(upstream.entry().incarnationId(), roundUpToMillis(now() - sentAtNanos));
        callCoordinator(
                END_PATH,
                end,
                reply -> {
                    if (Json.read(reply.text(), EndReply.class).ended()) {
                        mUnreportedEnds.remove(upstream);
                    }
                },
                () -> {});
    }

    /**
     * Replies to the report of a peer that a limit has ended.
     *
     * @throws IllegalArgumentException if the call is invalid
     */
    HttpReply replyToEnd(HttpCall call) {
        End end = Json.read(call.text(), End.class);
        Upstream upstream = mUpstreams.get(end.server());
        if (!mCoordinator.isActing() || upstream == null) {
            return HttpReply.of(503, "{}");
        }
        // The report may have been under way for as long as its sender waits for the answer.
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(end.sentAgeMillis()) + CALL_TIMEOUT.toNanos();
        mLimits.onEnded(upstream, now() - ageNanos);
        return HttpReply.of(
                200, Json.write(new EndReply(!upstream.load().gate().limit().isActive())));
    }

    /** Returns the limits that this daemon knows, with the milliseconds since they were named. */
    ObjectNode encodeLimits() {
        ObjectNode limits = JsonNodeFactory.instance.objectNode();
        long now = now();
        for (Upstream upstream : mUpstreams.limited()) {
            NamedLimit limit = upstream.load().gate().limit();
            limits.putArray(upstream.entry().incarnationId())
                    .add(limit.requestsPerSecond())
                    .add(TimeUnit.NANOSECONDS.toMillis(now - limit.namedAtNanos()));
        }
        return limits;
    }

    /** Adopts the limits that a peer knows, which {@link #encodeLimits} wrote. */
    void onLimits(JsonNode limits) {
        long now = now();
        limits.properties()
                .forEach(
                        limit -> {
                            Upstream upstream = mUpstreams.get(limit.getKey());
                            double rate = limit.getValue().path(0).asDouble(-1);
                            long ageMillis = limit.getValue().path(1).asLong(-1);
                            if (upstream != null && rate >= 0 && ageMillis >= 0) {
                                mLimits.onNamed(
                                        upstream,
                                        rate,
                                        now - TimeUnit.MILLISECONDS.toNanos(ageMillis));
                            }
                        });
    }

    /** Returns the time in seconds after which the caller of a rejected request may return. */
    double returnAfterSeconds(Upstream upstream, int rank) {
        long now = now();
        long waitNanos = upstream.load().gate().nextReturnNanos(now) - now;
        // The less urgent requests come back later.
        return waitNanos / NANOS_PER_SECOND * (1 + Math.max(0, rank));
    }
}

package org.geraniumusher.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;

import org.geraniumusher.http.HttpClient;
import org.geraniumusher.model.Outcome;
import org.geraniumusher.model.ResultCode;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Sends the requests of callers to backend servers. Requests that no server can take yet wait in a
 * queue. Requests that were not executed or may be repeated are retried. Confined to the event
 * loop.
 *
 * <p>Invariants: a request that a server may have executed is sent again only if its route is
 * idempotent, and it never fails with a result that says it was not executed. Retries of requests
 * that reached a server are limited by the {@link RetryBudget} of the service.
 */
final class Dispatcher {
    /** Interval at which waiting requests are tried again. */
    private static final long WAITING_INTERVAL_MILLIS = 15;

    /**
     * Minimum delay before a keyed request that a server rejected is sent again, multiplied by the
     * number of sends so far.
     */
    private static final long REJECTED_BACKOFF_NANOS = 40_000_000;

    /**
     * Time after the deadline for which an attempt that must not be repeated is left to its server,
     * which knows the deadline and stops there.
     */
    private static final long ATTEMPT_GRACE_NANOS = 2_000_000_000;

    private static final int MAX_WAITING_REQUESTS = 2_000;

    /** Short, because other daemons can take the request at once. */
    private static final double STOPPING_RETRY_AFTER_SECONDS = 0.02;

    private final Directory mDirectory;
    private final WireFormat mWire;
    private final RequestRouting mRouting;
    private final EventThread mThread;
    private final LongSupplier mClock;
    private final EntryMetrics mMetrics;
    private final KeyedRequestStats mKeyedRequestStats;
    private final CrashMonitor mCrashMonitor;
    private final Random mRandom;
    private final UpstreamSet mUpstreams;
    private final ServerSelector mSelector;
    private final ServerNotices mServerNotices;
    private final LimitPermits mLimitPermits;
    private final PeerFallback mPeerFallback;
    private final RequestLog mRequestLog;
    private final RetryRules mRetryRules;
    private final CallerDeadlines mCallerDeadlines;
    private final List<Exchange> mWaiting = new ArrayList<>();
    private boolean mDispatchScheduled;
    private final Set<Exchange> mInProgress = new LinkedHashSet<>();
    private boolean mStopping;

    /** Assumed until {@link #setDaemonCount} is called. */
    private int mDaemonCount = 10;

    private boolean mDaemonCountKnown;

    private Consumer<String> mUnreachableListener = incarnationId -> {};

    Dispatcher(
            DaemonContext context,
            WireFormat wire,
            EventLoopGroup group,
            CoordinatorService coordinator,
            HttpClient client,
            KeyedRequestStats keyedRequestStats,
            CrashMonitor crashMonitor) {
        EntrySettings settings = context.settings();
        mDirectory = context.directory();
        mWire = wire;
        mThread = context.thread();
        mClock = context.clock();
        mMetrics = context.metrics();
        DecisionLog log = context.log();
        mKeyedRequestStats = keyedRequestStats;
        mCrashMonitor = crashMonitor;
        mRandom = new Random(settings.name().hashCode());
        mRouting = new RequestRouting(mDirectory, wire.headers().key(), mRandom);
        mUpstreams =
                new UpstreamSet(mDirectory, group, mClock, log, mMetrics, wire.headers(), mRandom);
        ServerLimits serverLimits = new ServerLimits(log, mMetrics);
        mLimitPermits =
                new LimitPermits(
                        context,
                        coordinator,
                        mUpstreams,
                        serverLimits,
                        client,
                        () -> mDaemonCountKnown ? mDaemonCount : 0,
                        this::dispatchWaiting);
        mSelector =
                new ServerSelector(
                        settings,
                        mDirectory,
                        mUpstreams,
                        mLimitPermits,
                        mRandom,
                        () -> mDaemonCount);
        mServerNotices =
                new ServerNotices(
                        mDirectory, mUpstreams, wire, mThread, log, mMetrics, serverLimits);
        mPeerFallback =
                new PeerFallback(
                        context, wire.headers(), group, mUpstreams, mRandom, new Requests());
        mRetryRules = new RetryRules(settings, crashMonitor, () -> mDaemonCount);
        mRequestLog =
                new RequestLog(mDirectory, mUpstreams, log, mClock, wire.headers().signature());
        mCallerDeadlines = new CallerDeadlines(wire.headers().deadlineMillis(), mRequestLog);
        mUpstreams.registerGauges();
        mMetrics.registerGauge("requests.in_progress", mInProgress::size);
        mMetrics.registerGauge("requests.waiting", mWaiting::size);
    }

    /**
     * Sets the number of daemons, which share the retry slack and the rate of a cold server. Retry
     * budgets that exist already keep their capacity.
     */
    void setDaemonCount(int count) {
        mDaemonCount = Math.max(1, count);
        mDaemonCountKnown = true;
    }

    /** Returns what passes requests on to peers. */
    PeerForwarder forwarder() {
        return mPeerFallback.forwarder();
    }

    /** Sets the maximum delay with which this daemon learns of changes of server entries. */
    void setMaxEntryLagNanos(long nanos) {
        mSelector.setMaxEntryLagNanos(nanos);
    }

    /**
     * Rejects all requests that arrive or wait from now on, since they might not end before the
     * stop. Those that a server may have executed are still sent again.
     */
    void beginStop() {
        mStopping = true;
    }

    /**
     * Ends all requests in progress, because the daemon exits. Callers learn whether their request
     * may have been executed, and responses that wait for an earlier one of their connection can be
     * sent.
     */
    void endRequestsInProgress() {
        for (Exchange exchange : List.copyOf(mInProgress)) {
            if (!exchange.isEnded()) {
                boolean sent = exchange.isSent();
                cancelAttempt(exchange);
                fail(
                        exchange,
                        sent ? ResultCode.OUTCOME_UNKNOWN : ResultCode.DRAINING,
                        STOPPING_RETRY_AFTER_SECONDS);
            }
        }
    }

    /** Sets the listener that gets the incarnation ID of a server that cannot be connected to. */
    void setUnreachableListener(Consumer<String> listener) {
        mUnreachableListener = listener;
    }

    /** Returns the number of requests that have arrived and not ended. */
    int requestsInProgress() {
        return mInProgress.size();
    }

    /** Updates the servers after a change of the directory and tries to send waiting requests. */
    void onDirectoryChange() {
        mUpstreams.update();
        mCrashMonitor.onDirectoryChange();
        dispatchWaiting();
    }

    /** Returns the servers that requests are sent to. */
    UpstreamSet upstreams() {
        return mUpstreams;
    }

    /** Returns the permits for servers that have a limit. */
    LimitPermits limitPermits() {
        return mLimitPermits;
    }

    /** Starts to process a request that was read; it may end during this call. */
    void dispatch(Exchange exchange) {
        mInProgress.add(exchange);
        if (mStopping) {
            fail(exchange, ResultCode.DRAINING, STOPPING_RETRY_AFTER_SECONDS);
            return;
        }
        Optional<RequestRouting.Failure> failure = mRouting.route(exchange);
        if (failure.isPresent()) {
            fail(exchange, failure.get().code(), failure.get().retryAfterSeconds());
            return;
        }
        mCallerDeadlines.setTimes(exchange);
        if (!exchange.isFromPeer()) {
            // The peer has counted the request.
            if (exchange.hasKey()) {
                mKeyedRequestStats.onRequest(exchange.service(), exchange.key());
            }
            mRetryRules.onRequest(exchange);
        }
        long nanosUntilDeadline = exchange.deadlineAtNanos() - exchange.arrivedAtNanos();
        exchange.setDeadlineTimer(
                mThread.schedule(
                        () -> onDeadline(exchange), nanosUntilDeadline, TimeUnit.NANOSECONDS));
        sendOrQueue(exchange);
    }

    /**
     * Sends a request to a server if one can take it now. Otherwise queues the request, or fails it
     * if it is quarantined, has waited too long or the queue is full.
     */
    private void sendOrQueue(Exchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        if (mStopping && !exchange.mayHaveRun()) {
            fail(exchange, ResultCode.DRAINING, STOPPING_RETRY_AFTER_SECONDS);
            return;
        }
        OptionalDouble rejectedForSeconds = mCrashMonitor.rejectedForSeconds(exchange);
        if (rejectedForSeconds.isPresent()) {
            fail(exchange, ResultCode.QUARANTINED, rejectedForSeconds.getAsDouble());
            return;
        }
        if (mPeerFallback.handleWhileStranded(exchange)) {
            return;
        }
        long now = mClock.getAsLong();
        Optional<Upstream> target =
                now < exchange.earliestSendNanos()
                        ? Optional.empty()
                        : mSelector.select(exchange, now);
        if (target.isEmpty() && mPeerFallback.handleUnreached(exchange)) {
            return;
        }
        ProbationTrials.Decision trial =
                target.isPresent()
                        ? mCrashMonitor.decideTrial(exchange)
                        : ProbationTrials.Decision.WAIT;
        if (trial == ProbationTrials.Decision.SEND) {
            send(exchange, target.get(), now);
        } else if (trial == ProbationTrials.Decision.REJECT) {
            double seconds = mCrashMonitor.trialInSeconds(exchange);
            fail(
                    exchange,
                    ResultCode.QUARANTINED,
                    seconds + WaitLimits.retryAfterSeconds(exchange, mRandom));
        } else if (!failIfUnavailable(exchange, now)) {
            exchange.awaitedServer()
                    .ifPresent(
                            server ->
                                    mLimitPermits.want(
                                            server,
                                            WaitLimits.remainingWaitNanos(exchange, now),
                                            exchange.route().priority()));
            mWaiting.add(exchange);
            scheduleDispatch();
        }
    }

    /**
     * Fails a request that has waited too long, or will have when a server takes requests again or
     * its key has its next owner, or that finds the queue full; returns whether it did. The caller
     * then learns when to come back.
     */
    private boolean failIfUnavailable(Exchange exchange, long now) {
        long nextOwnerAt = mSelector.nextOwnerNotBefore(exchange, now);
        long availableAt = Math.max(nextOwnerAt, mUpstreams.availableAt(exchange, now));
        boolean unavailable =
                WaitLimits.hasWaitedTooLong(exchange, availableAt)
                        || mWaiting.size() >= MAX_WAITING_REQUESTS;
        if (unavailable) {
            if (!WaitLimits.hasWaitedTooLong(exchange, now)
                    && WaitLimits.hasWaitedTooLong(exchange, nextOwnerAt)) {
                mMetrics.onNextOwnerTooLate();
            }
            double pauseSeconds = (availableAt - now) / 1e9;
            double returnSeconds =
                    exchange.awaitedServer()
                            .map(s -> returnAfterLimitSeconds(exchange, s))
                            .orElse(pauseSeconds);
            fail(
                    exchange,
                    exchange.waitReason(),
                    returnSeconds + WaitLimits.retryAfterSeconds(exchange, mRandom));
        }
        return unavailable;
    }

    private double returnAfterLimitSeconds(Exchange exchange, Upstream limited) {
        mLimitPermits.wantForLater(limited);
        return mLimitPermits.returnAfterSeconds(limited, exchange.route().priority());
    }

    private void send(Exchange exchange, Upstream upstream, long now) {
        exchange.recordSend(upstream.entry().incarnationId());
        upstream.load().onSent();
        UpstreamConnection.Listener listener =
                new UpstreamConnection.Listener() {
                    @Override
                    public void onResponse(UpstreamResponse response) {
                        Dispatcher.this.onResponse(exchange, upstream, now, response);
                    }

                    @Override
                    public void onNotSent(Throwable cause) {
                        Dispatcher.this.onNotSent(exchange, upstream, cause);
                    }

                    @Override
                    public void onNotAccepted(String cause) {
                        Dispatcher.this.onNotAccepted(exchange, upstream, cause);
                    }

                    @Override
                    public void onWithdrawn() {
                        Dispatcher.this.onWithdrawn(exchange, upstream);
                    }

                    @Override
                    public void onNoResponse(ResponseFailure failure) {
                        Dispatcher.this.onBroken(exchange, upstream, now, failure);
                    }
                };
        UpstreamConnection connection =
                upstream.send(outgoingRequest(exchange, upstream), listener);
        if (!exchange.isEnded()) {
            exchange.beginAttempt(new Exchange.Attempt(upstream, connection, now));
        }
        mPeerFallback.onSent(exchange, connection);
    }

    private OutgoingRequest outgoingRequest(Exchange exchange, Upstream upstream) {
        boolean hasPermit = upstream.load().gate().limit().isActive();
        return new OutgoingRequest() {
            @Override
            public String id() {
                return exchange.id();
            }

            @Override
            public boolean maySend() {
                long now = mClock.getAsLong();
                return !exchange.isEnded()
                        && now < exchange.deadlineAtNanos()
                        && mSelector.mayUse(exchange, upstream, now)
                        // The server may have named its limit since the request was dispatched.
                        && (hasPermit || upstream.load().gate().tryPass(now));
            }

            @Override
            public FullHttpRequest build() {
                return ForwardedRequests.build(
                        exchange, upstream.entry(), mWire.headers(), mClock.getAsLong());
            }
        };
    }

    private void onResponse(
            Exchange exchange, Upstream upstream, long sentAtNanos, UpstreamResponse response) {
        long now = mClock.getAsLong();
        exchange.endAttempt();
        mPeerFallback.onAnswer();
        upstream.onAnswered();
        mCrashMonitor.onResponse(exchange, upstream, response);
        mServerNotices.onResponse(upstream, response, sentAtNanos, now);
        boolean rejected = response.header(mWire.headers().notExecuted()) != null;
        if (rejected || response.status() == 421) {
            upstream.load().onRejected();
            onRejected(exchange, upstream, response);
            return;
        }
        boolean failed = response.status() >= 500;
        upstream.load().onCompleted(now - sentAtNanos, failed);
        if (exchange.hasKey() && !failed) {
            mKeyedRequestStats.onExecuted(
                    exchange.service(), upstream.entry().incarnationId(), now - sentAtNanos);
        }
        exchange.setMayHaveRun();
        boolean unsignedSuccess =
                response.status() < 300 && response.header(mWire.headers().signature()) == null;
        if (exchange.isEnded()) {
            return;
        }
        if ((failed || unsignedSuccess) && mRetryRules.tryRetry(exchange, now)) {
            mRequestLog.logRetried(exchange, upstream, response);
            sendOrQueue(exchange);
            return;
        }
        if (unsignedSuccess) {
            fail(exchange, ResultCode.OUTCOME_UNKNOWN, 0);
        } else {
            end(exchange);
            mMetrics.onAnswered(exchange, now);
            mRequestLog.logAnswered(exchange, upstream, response, now - sentAtNanos);
            exchange.responder().respond(response);
        }
    }

    private void onRejected(Exchange exchange, Upstream upstream, UpstreamResponse response) {
        long now = mClock.getAsLong();
        mRequestLog.logRejected(exchange, upstream, response);
        if (exchange.isEnded()) {
            return;
        }
        exchange.setWaitReason(ResultCode.REFUSED_BY_SERVER);
        if (upstream.load().isPaused(now) && failIfUnavailable(exchange, now)) {
            return;
        }
        if (!mRetryRules.hasSendsLeft(exchange) || !mRetryRules.tryWithdraw(exchange)) {
            fail(exchange, exchange.waitReason(), WaitLimits.retryAfterSeconds(exchange, mRandom));
            return;
        }
        if (exchange.hasKey()) {
            exchange.setEarliestSendNanos(now + REJECTED_BACKOFF_NANOS * exchange.sendCount());
        }
        sendOrQueue(exchange);
    }

    private void onNotSent(Exchange exchange, Upstream upstream, Throwable cause) {
        long now = mClock.getAsLong();
        exchange.endAttempt();
        upstream.load().onNoAnswer(now);
        mRequestLog.logNotSent(exchange, upstream, cause);
        mUnreachableListener.accept(upstream.entry().incarnationId());
        exchange.setWaitReason(ResultCode.CONNECT_FAILED);
        mPeerFallback.onFailure(upstream);
        if (!mPeerFallback.handleFailedSends(exchange)) {
            resendUnsent(exchange);
        }
    }

    /** Sends a request again, without the retry budget, since it did not reach the server. */
    private void resendUnsent(Exchange exchange) {
        if (mRetryRules.hasSendsLeft(exchange)) {
            sendOrQueue(exchange);
        } else if (!exchange.isEnded()) {
            fail(exchange, exchange.waitReason(), WaitLimits.retryAfterSeconds(exchange, mRandom));
        }
    }

    /**
     * Queues the request again, as it did not reach the server, which has too many connections and
     * is busy rather than lost.
     */
    private void onNotAccepted(Exchange exchange, Upstream upstream, String cause) {
        exchange.endAttempt();
        upstream.load().onRejected();
        mRequestLog.logNotAccepted(exchange, upstream, cause);
        mPeerFallback.onFailure(upstream);
        exchange.setWaitReason(ResultCode.OVERLOADED);
        exchange.setEarliestSendNanos(
                mClock.getAsLong() + REJECTED_BACKOFF_NANOS * exchange.sendCount());
        if (!mPeerFallback.handleFailedSends(exchange)) {
            resendUnsent(exchange);
        }
    }

    /**
     * Queues the request again, as it was not sent: the server began to leave while its connection
     * was opened. Does nothing if its caller left, and ends it if its deadline passed.
     */
    private void onWithdrawn(Exchange exchange, Upstream upstream) {
        exchange.endAttempt();
        upstream.load().onWithdrawn();
        mMetrics.onWithdrawn();
        mRequestLog.logWithdrawn(exchange, upstream);
        if (mClock.getAsLong() < exchange.deadlineAtNanos()) {
            resendUnsent(exchange);
        } else {
            onDeadline(exchange);
        }
    }

    private void onBroken(
            Exchange exchange, Upstream upstream, long sentAtNanos, ResponseFailure failure) {
        long now = mClock.getAsLong();
        exchange.endAttempt();
        exchange.setMayHaveRun();
        upstream.load().onNoAnswer(now);
        failure.limit().ifPresent(mMetrics::onResponseOverLimit);
        mRequestLog.logBroken(exchange, upstream, failure, now - sentAtNanos);
        mCrashMonitor.onBroken(exchange, upstream, failure);
        if (failure.limit().isEmpty()) {
            mPeerFallback.onFailure(upstream);
        }
        if (!exchange.isEnded() && !retryIfAllowed(exchange, now)) {
            fail(exchange, ResultCode.OUTCOME_UNKNOWN, 0);
        }
    }

    /**
     * Retries a request that a server may have executed, if that is allowed. After a result of true
     * the request has been sent, queued or failed; after false the caller must end it.
     */
    private boolean retryIfAllowed(Exchange exchange, long now) {
        boolean allowed = mRetryRules.tryRetry(exchange, now);
        if (allowed) {
            sendOrQueue(exchange);
        }
        return allowed;
    }

    private void onDeadline(Exchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        boolean sent = exchange.isSent();
        Optional<Upstream> unanswering = exchange.attempt().map(Exchange.Attempt::upstream);
        cancelAttempt(exchange);
        fail(
                exchange,
                sent ? ResultCode.TIMED_OUT : ResultCode.DEADLINE_UNREACHABLE,
                sent ? 0 : WaitLimits.retryAfterSeconds(exchange, mRandom));
        unanswering.ifPresent(mPeerFallback::onDeadline);
    }

    /** Cancels a request whose response cannot be delivered because its connection closed. */
    void abandon(Exchange exchange) {
        if (exchange.isEnded()) {
            return;
        }
        mRequestLog.logAbandoned(exchange);
        cancelAttempt(exchange);
        end(exchange);
        mMetrics.onAbandoned();
    }

    /**
     * Cancels the attempt in progress, if any. An attempt that must not be repeated is left to
     * complete at the server, until {@link #ATTEMPT_GRACE_NANOS} after the deadline.
     */
    private void cancelAttempt(Exchange exchange) {
        forwarder().cancel(exchange);
        if (exchange.attempt().isEmpty()) {
            return;
        }
        Exchange.Attempt attempt = exchange.attempt().get();
        if (exchange.route().kind().mayRepeat()) {
            attempt.upstream().load().onCancelled(mClock.getAsLong() - attempt.sentAtNanos());
            attempt.connection().cancel();
            exchange.endAttempt();
        } else {
            long endNanos = exchange.deadlineAtNanos() + ATTEMPT_GRACE_NANOS;
            exchange.setAttemptTimer(
                    mThread.schedule(
                            attempt.connection()::expire,
                            endNanos - mClock.getAsLong(),
                            TimeUnit.NANOSECONDS));
        }
    }

    /**
     * Ends a request with an error. If a server may have executed the request, a result that says
     * it was not executed is replaced by {@link ResultCode#OUTCOME_UNKNOWN}.
     */
    private void fail(Exchange exchange, ResultCode code, double retryAfterSeconds) {
        end(exchange);
        ResultCode reported =
                exchange.mayHaveRun() && code.outcome() == Outcome.NOT_RUN
                        ? ResultCode.OUTCOME_UNKNOWN
                        : code;
        if (exchange.isFromPeer()) {
            mMetrics.onFailedForPeer(reported);
        } else {
            mMetrics.onFailed(exchange, reported, mClock.getAsLong());
        }
        mRequestLog.logFailed(exchange, reported, mWaiting.size());
        exchange.responder().fail(reported, retryAfterSeconds);
    }

    private void end(Exchange exchange) {
        exchange.end();
        mInProgress.remove(exchange);
        scheduleDispatch();
    }

    /** Schedules {@link #dispatchWaiting} if requests are waiting. */
    private void scheduleDispatch() {
        if (!mDispatchScheduled && !mWaiting.isEmpty()) {
            mDispatchScheduled = true;
            mThread.schedule(
                    () -> {
                        mDispatchScheduled = false;
                        dispatchWaiting();
                    },
                    WAITING_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Tries to send each waiting request, the most urgent first. */
    private void dispatchWaiting() {
        if (mWaiting.isEmpty()) {
            return;
        }
        List<Exchange> batch = new ArrayList<>(mWaiting);
        mWaiting.clear();
        batch.sort(Exchange.BY_PRIORITY_THEN_GOAL);
        batch.forEach(this::sendOrQueue);
        scheduleDispatch();
    }

    /** What the fallback to peers needs of the requests. */
    private final class Requests implements PeerFallback.Requests {
        @Override
        public Set<Exchange> inProgress() {
            return mInProgress;
        }

        @Override
        public void sendOrQueue(Exchange exchange) {
            Dispatcher.this.sendOrQueue(exchange);
        }

        @Override
        public void sendWaiting() {
            dispatchWaiting();
        }

        @Override
        public void answer(Exchange exchange, String peer, UpstreamResponse response) {
            end(exchange);
            mServerNotices.onPassedOn(response);
            mRequestLog.logForwarded(exchange, peer, response);
            exchange.responder().respond(response);
        }

        @Override
        public void fail(Exchange exchange, ResultCode code, double retryAfterSeconds) {
            Dispatcher.this.fail(exchange, code, retryAfterSeconds);
        }

        @Override
        public boolean tryReserveRetry(Exchange exchange) {
            return mRetryRules.tryWithdraw(exchange);
        }

        @Override
        public boolean tryAbandonAttempt(Exchange exchange) {
            boolean mayRepeat =
                    exchange.route().kind().mayRepeat()
                            && mCrashMonitor.mayRetry(exchange)
                            && (exchange.endTrial() || tryReserveRetry(exchange));
            if (mayRepeat) {
                cancelAttempt(exchange);
                exchange.setMayHaveRun();
            }
            return mayRepeat;
        }

        @Override
        public boolean retryIfAllowed(Exchange exchange) {
            return Dispatcher.this.retryIfAllowed(exchange, mClock.getAsLong());
        }
    }
}

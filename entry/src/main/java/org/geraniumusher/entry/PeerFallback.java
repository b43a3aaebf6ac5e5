package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;

import org.geraniumusher.dispatch.ServerReach;
import org.geraniumusher.model.ResultCode;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Decides which requests go through a peer, because this daemon does not reach the servers that
 * could run them. Confined to the event loop.
 *
 * <p>Invariants: a request that came from a peer is sent to a server or rejected at once, never
 * passed on. A request that a server may have executed is passed on only if it may be repeated and
 * the retry budget allows it.
 */
final class PeerFallback {
    /** Time after which a request that tries the servers is passed on to a peer as well. */
    private static final long TRIAL_NANOS = 250_000_000;

    /** Age from which a request in flight counts as stuck when no server answers any more. */
    private static final long STUCK_NANOS = 300_000_000;

    /** Sends that failed after which a peer is asked, though other servers are left. */
    private static final int SENDS_BEFORE_FORWARD = 2;

    private final EventThread mThread;
    private final LongSupplier mClock;
    private final Random mRandom;
    private final Requests mRequests;
    private final ReachMonitor mReach;
    private final PeerForwarder mForwarder;

    /** The requests of the daemon. */
    interface Requests {
        /** Returns those that have arrived and not ended; a live view. */
        Set<Exchange> inProgress();

        /** Sends a request to a server, passes it on, queues it or rejects it. */
        void sendOrQueue(Exchange exchange);

        /** Tries to send the requests that wait. */
        void sendWaiting();

        /** Ends a request with the answer of a server that came through a peer. */
        void answer(Exchange exchange, String peer, UpstreamResponse response);

        /** Ends a request with an error. */
        void fail(Exchange exchange, ResultCode code, double retryAfterSeconds);

        /** Takes a retry of a request from the budget; returns whether there was one. */
        boolean tryReserveRetry(Exchange exchange);

        /** Cancels the attempt of a request if it may be repeated; returns whether it did. */
        boolean tryAbandonAttempt(Exchange exchange);

        /** Sends a request again that a server may have executed, if that is allowed. */
        boolean retryIfAllowed(Exchange exchange);
    }

    PeerFallback(
            DaemonContext context,
            HeaderNames headers,
            EventLoopGroup group,
            UpstreamSet upstreams,
            Random random,
            Requests requests) {
        mThread = context.thread();
        mClock = context.clock();
        mRandom = checkNotNull(random);
        mRequests = checkNotNull(requests);
        mReach =
                new ReachMonitor(
                        context,
                        upstreams,
                        ConnectProbe.create(group),
                        random,
                        () -> !requests.inProgress().isEmpty(),
                        this::countSilentServers,
                        this::onStranded);
        mForwarder = new PeerForwarder(context, headers, group, random, new ForwardResults());
    }

    /** Returns what passes requests on. */
    PeerForwarder forwarder() {
        return mForwarder;
    }

    /**
     * Passes a request on while no server answers this daemon, or rejects it at once. Returns false
     * if it is to be sent to a server: one answers, or may answer again, or there are no peers.
     */
    boolean handleWhileStranded(Exchange exchange) {
        if (!mReach.isStranded()
                || exchange.triesServers()
                || !exchange.isFromPeer() && !mForwarder.hasPeers()) {
            return false;
        }
        if (!exchange.isFromPeer()) {
            if (tryTakeTrial(exchange)) {
                return false;
            }
            if (mForwarder.tryForward(exchange)) {
                return true;
            }
        }
        reject(exchange, ResultCode.SERVERS_UNREACHABLE);
        return true;
    }

    /**
     * Lets a request try the servers if that is due. One that may be repeated takes a retry from
     * the budget first, with which it goes to a peer when it gets no answer.
     */
    private boolean tryTakeTrial(Exchange exchange) {
        boolean takes =
                mReach.isTrialDue(exchange)
                        && (!exchange.route().kind().mayRepeat()
                                || mRequests.tryReserveRetry(exchange));
        if (takes) {
            mReach.takeTrial();
            exchange.setTriesServers();
        }
        return takes;
    }

    /**
     * Passes on a request that found no server, if this daemon does not reach those that could run
     * it, or rejects it if a peer has passed it on; returns whether it did.
     */
    boolean handleUnreached(Exchange exchange) {
        if (!exchange.isServersUnreached()) {
            return false;
        }
        if (exchange.isFromPeer()) {
            reject(exchange, ResultCode.CONNECT_FAILED);
            return true;
        }
        return mForwarder.tryForward(exchange);
    }

    /**
     * Passes on a request that could not be sent to servers several times, or rejects it if a peer
     * has passed it on; returns whether it did.
     */
    boolean handleFailedSends(Exchange exchange) {
        if (exchange.isEnded() || exchange.sendCount() < SENDS_BEFORE_FORWARD) {
            return false;
        }
        if (exchange.isFromPeer()) {
            reject(exchange, ResultCode.CONNECT_FAILED);
            return true;
        }
        return mForwarder.tryForward(exchange);
    }

    private void reject(Exchange exchange, ResultCode code) {
        mRequests.fail(exchange, code, WaitLimits.retryAfterSeconds(exchange, mRandom));
    }

    /** Records that a request was sent to a server. */
    void onSent(Exchange exchange, UpstreamConnection connection) {
        mReach.onSent();
        if (mReach.isStranded() && exchange.triesServers()) {
            mThread.schedule(
                    () -> endTrial(exchange, connection), TRIAL_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    private void endTrial(Exchange exchange, UpstreamConnection connection) {
        boolean isStuck = exchange.attempt().filter(a -> a.connection() == connection).isPresent();
        if (isStuck && mReach.isStranded()) {
            passOnAttempt(exchange);
        }
    }

    /** Records that a server answered, whatever it said. */
    void onAnswer() {
        mReach.onAnswer();
    }

    /** Records that a connection to a server could not be opened, or broke without an answer. */
    void onFailure(Upstream upstream) {
        mReach.onFailure(upstream);
    }

    /** Records that the deadline of a request passed before its server answered. */
    void onDeadline(Upstream upstream) {
        mReach.onDeadline(upstream);
    }

    /** Returns the number of servers that have not answered requests for unusually long. */
    private int countSilentServers() {
        long now = mClock.getAsLong();
        return (int)
                mRequests.inProgress().stream()
                        .flatMap(e -> e.attempt().stream())
                        .filter(a -> now - a.sentAtNanos() >= silentNanos(a.upstream(), now))
                        .map(Exchange.Attempt::upstream)
                        .distinct()
                        .count();
    }

    private static long silentNanos(Upstream upstream, long now) {
        return ServerReach.SILENT_NANOS + 2 * (long) upstream.load().expectedResponseNanos(now);
    }

    /** Passes on the requests that may be repeated and wait for servers in vain. */
    private void onStranded() {
        long now = mClock.getAsLong();
        for (Exchange exchange : List.copyOf(mRequests.inProgress())) {
            exchange.attempt()
                    .filter(a -> now - a.sentAtNanos() >= STUCK_NANOS)
                    .ifPresent(a -> passOnAttempt(exchange));
        }
        mRequests.sendWaiting();
    }

    /**
     * Passes on a request that was sent to a server that does not answer, if it may be repeated.
     */
    private void passOnAttempt(Exchange exchange) {
        if (!exchange.isEnded()
                && !exchange.isFromPeer()
                && mForwarder.hasPeers()
                && mRequests.tryAbandonAttempt(exchange)
                && !mForwarder.tryForward(exchange)) {
            mRequests.sendOrQueue(exchange);
        }
    }

    /** Ends or continues the requests that were passed on. */
    private final class ForwardResults implements PeerForwarder.Listener {
        @Override
        public void onForwardAnswered(Exchange exchange, String peer, UpstreamResponse response) {
            mRequests.answer(exchange, peer, response);
        }

        @Override
        public void onForwardFailed(Exchange exchange, ResultCode code, double retryAfterSeconds) {
            mRequests.fail(exchange, code, retryAfterSeconds);
        }

        @Override
        public void onForwardNotRun(Exchange exchange, ResultCode code) {
            exchange.setWaitReason(code);
            mRequests.sendOrQueue(exchange);
        }

        @Override
        public void onForwardBroken(Exchange exchange) {
            if (!mRequests.retryIfAllowed(exchange)) {
                mRequests.fail(exchange, ResultCode.OUTCOME_UNKNOWN, 0);
            }
        }
    }
}

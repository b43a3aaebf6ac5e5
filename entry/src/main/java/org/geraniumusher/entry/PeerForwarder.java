package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.DecimalField;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.relay.Feeders;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/**
 * Passes requests on to peers, which send them to servers that this daemon does not reach. Confined
 * to the event loop.
 *
 * <p>A connection to the port for calls of peers that begins with {@link #PREFACE} carries requests
 * as callers send them. The peer decides about owners, limits, retries and quarantines.
 *
 * <p>Invariants: a request that came from a peer is never passed on. A result that says that the
 * request was not executed is used only if the peer says so, or if the request never left.
 */
final class PeerForwarder {
    /** First bytes of a connection that carries forwarded requests; no HTTP method begins so. */
    static final byte[] PREFACE = "geraniumusher-forward/1\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Header of an answer that the peer gave itself, with the number of its result code. */
    static final String RESULT_HEADER = "Geraniumusher-Result";

    /** Header of an answer of a server, with the incarnation of the server. */
    static final String SERVER_HEADER = "Geraniumusher-Server";

    /** Number of peers that one request is passed on to at most, one after the other. */
    private static final int MAX_FORWARDS = 6;

    /** Number of peers that do not reach a server, after which it counts as unreachable. */
    private static final int MIN_PEERS_TO_GIVE_UP = 2;

    /** Time for which a server counts as unreachable also for peers, after they said so. */
    private static final long UNREACHABLE_NANOS = 500_000_000L;

    /** Servers and services that are remembered as such. */
    private static final int MAX_UNREACHABLE = 4_096;

    private static final int SERVICE_UNAVAILABLE = 503;

    private final DaemonContext mContext;
    private final HeaderNames mHeaders;
    private final EventLoopGroup mGroup;
    private final Random mRandom;
    private final Listener mListener;
    private final ResponseBuffers mBuffers = new ResponseBuffers();
    private final Map<Address, PeerLink> mPeers = new HashMap<>();

    /** Times until which targets are not asked of peers again, by {@link #targetOf}. */
    private final Map<String, Long> mUnreachableUntil = new HashMap<>();

    /** Receives the results of forwarded requests. */
    interface Listener {
        /** Called with the answer of a server. */
        void onForwardAnswered(Exchange exchange, String peer, UpstreamResponse response);

        /** Called with a result of the peer that ends the request. */
        void onForwardFailed(Exchange exchange, ResultCode code, double retryAfterSeconds);

        /** Called if the request was not executed and may be sent in another way. */
        void onForwardNotRun(Exchange exchange, ResultCode code);

        /** Called if the connection to the peer broke, and a server may execute the request. */
        void onForwardBroken(Exchange exchange);
    }

    PeerForwarder(
            DaemonContext context,
            HeaderNames headers,
            EventLoopGroup group,
            Random random,
            Listener listener) {
        mContext = checkNotNull(context);
        mHeaders = checkNotNull(headers);
        mGroup = group;
        mRandom = checkNotNull(random);
        mListener = checkNotNull(listener);
    }

    /** Sets the daemons of the fleet. */
    void setMembers(List<Feeders.Member> members) {
        String self = mContext.settings().name();
        mPeers.values()
                .removeIf(
                        link -> {
                            boolean gone = !members.contains(link.member());
                            if (gone) {
                                link.connections().retire();
                            }
                            return gone;
                        });
        for (Feeders.Member member : members) {
            if (!member.name().equals(self)) {
                mPeers.computeIfAbsent(member.peerAddress(), a -> createLink(member));
            }
        }
    }

    private PeerLink createLink(Feeders.Member member) {
        ConnectionPool connections =
                new ConnectionPool(
                        mGroup,
                        mContext.clock(),
                        mBuffers,
                        mHeaders,
                        PREFACE,
                        new StrayResponses(
                                mContext.log(),
                                mContext.metrics(),
                                StrayResponses.Sender.PEER,
                                member.name()));
        return new PeerLink(member, connections);
    }

    /** Returns whether this daemon knows of any other. */
    boolean hasPeers() {
        return !mPeers.isEmpty();
    }

    /** Closes the idle connections that peers are about to close. */
    void closeExpired() {
        long now = now();
        mPeers.values().forEach(p -> p.connections().closeExpired(now));
    }

    private long now() {
        return mContext.clock().getAsLong();
    }

    /** Passes a request on if a peer may be able to serve it; returns whether it did. */
    boolean tryForward(Exchange exchange) {
        if (exchange.isFromPeer()
                || exchange.triedPeers().size() >= MAX_FORWARDS
                || isUnreachable(targetOf(exchange))) {
            return false;
        }
        Optional<PeerLink> peer = pickPeer(exchange);
        peer.ifPresent(p -> forward(exchange, p));
        return peer.isPresent();
    }

    private boolean isUnreachable(String target) {
        return now() < mUnreachableUntil.getOrDefault(target, Long.MIN_VALUE);
    }

    /** Returns the server that owns the key of a request, or else its service. */
    private String targetOf(Exchange exchange) {
        return mContext.directory()
                .table(exchange.service())
                .filter(t -> exchange.hasKey())
                .map(t -> t.find(exchange.key()).owner())
                .orElse(exchange.service());
    }

    /**
     * Picks a peer that the request has not been passed on to: of two random ones in the data
     * centre of this daemon, or else in others, the one that has fewer requests of this daemon.
     */
    private Optional<PeerLink> pickPeer(Exchange exchange) {
        long now = now();
        List<PeerLink> usable =
                mPeers.values().stream()
                        .filter(p -> p.isUsable(now) && !exchange.triedPeers().contains(p))
                        .toList();
        List<PeerLink> local =
                usable.stream()
                        .filter(
                                p ->
                                        p.member()
                                                .dataCentre()
                                                .equals(mContext.settings().dataCentre()))
                        .toList();
        List<PeerLink> candidates = local.isEmpty() ? usable : local;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        PeerLink first = candidates.get(mRandom.nextInt(candidates.size()));
        PeerLink second = candidates.get(mRandom.nextInt(candidates.size()));
        return Optional.of(first.inFlight() <= second.inFlight() ? first : second);
    }

    private void forward(Exchange exchange, PeerLink peer) {
        peer.onSent();
        mContext.metrics().onForward("sent");
        UpstreamConnection connection =
                peer.connections()
                        .send(
                                peer.member().peerAddress(),
                                outgoingRequest(exchange),
                                new ForwardListener(exchange, peer));
        exchange.beginForward(new Exchange.Forward(peer, connection));
    }

    /** Ends the forward of a request, which lets the peer drop it. */
    void cancel(Exchange exchange) {
        exchange.forward()
                .ifPresent(
                        forward -> {
                            forward.connection().cancel();
                            forward.peer().onEnd();
                            exchange.endForward();
                        });
    }

    private OutgoingRequest outgoingRequest(Exchange exchange) {
        return new OutgoingRequest() {
            @Override
            public String id() {
                return exchange.id();
            }

            @Override
            public boolean maySend() {
                return !exchange.isEnded() && now() < exchange.deadlineAtNanos();
            }

            @Override
            public FullHttpRequest build() {
                return ForwardedRequests.buildForPeer(exchange, mHeaders, now());
            }
        };
    }

    /** Processes the result of one request at one peer. */
    private final class ForwardListener implements UpstreamConnection.Listener {
        private final Exchange mExchange;
        private final PeerLink mPeer;

        ForwardListener(Exchange exchange, PeerLink peer) {
            mExchange = exchange;
            mPeer = peer;
        }

        private boolean end() {
            mPeer.onEnd();
            mExchange.endForward();
            return !mExchange.isEnded();
        }

        @Override
        public void onResponse(UpstreamResponse response) {
            boolean isWaiting = end();
            String result = response.header(RESULT_HEADER);
            if (result == null) {
                mPeer.onServed();
                mContext.metrics().onForward("answered");
                if (isWaiting) {
                    mListener.onForwardAnswered(mExchange, mPeer.member().name(), response);
                }
            } else {
                onPeerResult(response, codeOf(result), isWaiting);
            }
        }

        private void onPeerResult(UpstreamResponse response, ResultCode code, boolean isWaiting) {
            mContext.metrics().onForward("failed");
            boolean notRun = response.status() == SERVICE_UNAVAILABLE;
            boolean isPeerUnable =
                    code == ResultCode.SERVERS_UNREACHABLE
                            || code == ResultCode.DRAINING
                            || code == ResultCode.PLATFORM_UNAVAILABLE;
            if (isPeerUnable) {
                mPeer.onUnable(now());
            } else if (code == ResultCode.CONNECT_FAILED
                    && mExchange.triedPeers().size() >= MIN_PEERS_TO_GIVE_UP) {
                markUnreachable(targetOf(mExchange));
            }
            if (!isWaiting) {
                return;
            }
            boolean differs = response.status() / 100 == 4;
            if (isPeerUnable || code == ResultCode.CONNECT_FAILED || differs) {
                // A peer that knows no such route has another version of the configuration.
                mListener.onForwardNotRun(
                        mExchange, differs ? ResultCode.SERVERS_UNREACHABLE : code);
            } else {
                if (!notRun) {
                    mExchange.setMayHaveRun();
                }
                mListener.onForwardFailed(mExchange, code, retryAfterSeconds(response));
            }
        }

        @Override
        public void onNotSent(Throwable cause) {
            onPeerNotReached();
        }

        @Override
        public void onNotAccepted(String cause) {
            onPeerNotReached();
        }

        private void onPeerNotReached() {
            mPeer.onUnable(now());
            mContext.metrics().onForward("not_sent");
            if (end()) {
                mListener.onForwardNotRun(mExchange, ResultCode.SERVERS_UNREACHABLE);
            }
        }

        @Override
        public void onWithdrawn() {
            if (end()) {
                mListener.onForwardNotRun(mExchange, ResultCode.DEADLINE_UNREACHABLE);
            }
        }

        @Override
        public void onNoResponse(ResponseFailure failure) {
            mPeer.onUnable(now());
            mContext.metrics().onForward("broken");
            boolean isWaiting = end();
            mExchange.setMayHaveRun();
            if (isWaiting) {
                mListener.onForwardBroken(mExchange);
            }
        }
    }

    private void markUnreachable(String target) {
        long now = now();
        mUnreachableUntil.put(target, now + UNREACHABLE_NANOS);
        if (mUnreachableUntil.size() > MAX_UNREACHABLE) {
            mUnreachableUntil.values().removeIf(until -> until <= now);
        }
    }

    private static ResultCode codeOf(String number) {
        return DecimalField.parse(List.of(number)).stream()
                .mapToObj(n -> ResultCode.ofNumber((int) n))
                .flatMap(Optional::stream)
                .findFirst()
                .orElse(ResultCode.OUTCOME_UNKNOWN);
    }

    private static double retryAfterSeconds(UpstreamResponse response) {
        return DecimalField.parse(response.headers(HttpHeaderNames.RETRY_AFTER.toString()))
                .orElse(0);
    }
}

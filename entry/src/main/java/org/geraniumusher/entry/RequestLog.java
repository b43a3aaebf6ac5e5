package org.geraniumusher.entry;

import com.google.common.base.Ascii;
import com.google.common.base.Strings;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.entry.DecisionLog.Part;
import org.geraniumusher.keyrange.Assignment;
import org.geraniumusher.keyrange.RangeTable;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.traffic.RouterConfig;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Logs the results of requests, together with the inputs of each decision and their versions.
 * Confined to the event loop.
 */
final class RequestLog {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Limit of the host and path in a line, which callers choose. */
    private static final int MAX_TARGET_CHARS = 200;

    private final Directory mDirectory;
    private final UpstreamSet mUpstreams;
    private final DecisionLog mLog;
    private final LongSupplier mClock;
    private final String mSignatureHeader;

    /**
     * Creates a log of requests.
     *
     * @param signatureHeader name of the header by which a server signs a response
     */
    RequestLog(
            Directory directory,
            UpstreamSet upstreams,
            DecisionLog log,
            LongSupplier clock,
            String signatureHeader) {
        mDirectory = directory;
        mUpstreams = upstreams;
        mLog = log;
        mClock = clock;
        mSignatureHeader = signatureHeader;
    }

    /**
     * Logs that a response of a server is forwarded.
     *
     * @param responseNanos time from sending the request to the server until its response
     */
    void logAnswered(
            Exchange exchange, Upstream upstream, UpstreamResponse response, long responseNanos) {
        long now = mClock.getAsLong();
        // Answers to retried requests are few, and those that are to be traced.
        boolean isRetried = exchange.sendCount() > 1 || !exchange.triedPeers().isEmpty();
        mLog.write(
                isRetried ? Part.REQUEST : Part.ANSWER,
                now <= exchange.goalAtNanos() ? "Answered in time" : "Answered late",
                "id",
                exchange.id(),
                "route",
                exchange.route().name(),
                "service",
                exchange.service(),
                "routed_by",
                exchange.routedByVersion(),
                "from_peer",
                exchange.isFromPeer(),
                "status",
                response.status(),
                "server",
                upstream.entry().incarnationId(),
                "connection",
                response.connection(),
                "signature",
                signatureOf(response),
                "key",
                exchange.key(),
                "at_server_ms",
                responseNanos / NANOS_PER_MILLI,
                "total_ms",
                (now - exchange.arrivedAtNanos()) / NANOS_PER_MILLI,
                "asked_before_ms",
                (exchange.arrivedAtNanos() - exchange.callerFirstSentAtNanos()) / NANOS_PER_MILLI,
                "sends",
                exchange.sendCount(),
                "forwards",
                exchange.triedPeers().size(),
                "config_version",
                configVersion(),
                "table_revision",
                tableRevision(exchange));
    }

    private String signatureOf(UpstreamResponse response) {
        return Strings.nullToEmpty(response.header(mSignatureHeader));
    }

    /** Logs that a request is retried although a server that executed it has responded. */
    void logRetried(Exchange exchange, Upstream upstream, UpstreamResponse response) {
        logUnused("Response is not used, request is retried", exchange, upstream, response);
    }

    /** Logs that a server rejected the request without executing it. */
    void logRejected(Exchange exchange, Upstream upstream, UpstreamResponse response) {
        logUnused("Server rejected the request without executing it", exchange, upstream, response);
    }

    private void logUnused(
            String event, Exchange exchange, Upstream upstream, UpstreamResponse response) {
        mLog.write(
                Part.REQUEST,
                event,
                "id",
                exchange.id(),
                "server",
                upstream.entry().incarnationId(),
                "status",
                response.status(),
                "key",
                exchange.key(),
                "sends",
                exchange.sendCount(),
                "table_revision",
                tableRevision(exchange),
                "connection",
                response.connection(),
                "signature",
                signatureOf(response));
    }

    /**
     * Logs that there is no usable response to a request that may have been executed.
     *
     * @param ageNanos time since the request was sent to the server
     */
    void logBroken(Exchange exchange, Upstream upstream, ResponseFailure failure, long ageNanos) {
        mLog.write(
                Part.REQUEST,
                "No usable response",
                "id",
                exchange.id(),
                "server",
                upstream.entry().incarnationId(),
                "cause",
                failure.cause(),
                "limit",
                failure.limit().map(ResponseLimit::name).orElse(""),
                "bytes",
                failure.receivedBytes(),
                "age_ms",
                ageNanos / NANOS_PER_MILLI,
                "connection",
                failure.connection(),
                "sends",
                exchange.sendCount());
    }

    /** Logs that no connection to the server could be opened. */
    void logNotSent(Exchange exchange, Upstream upstream, Throwable cause) {
        mLog.write(
                Part.SERVER,
                "No connection to the server",
                "id",
                exchange.id(),
                "server",
                upstream.entry().incarnationId(),
                "cause",
                cause.getMessage());
    }

    /** Logs that the server closed the connection before the request was sent. */
    void logNotAccepted(Exchange exchange, Upstream upstream, String cause) {
        mLog.write(
                Part.SERVER,
                "Server did not accept the connection",
                "id",
                exchange.id(),
                "server",
                upstream.entry().incarnationId(),
                "cause",
                cause);
    }

    /**
     * Logs that this daemon responds with an error.
     *
     * @param waiting number of requests that wait for a server
     */
    void logFailed(Exchange exchange, ResultCode result, int waiting) {
        mLog.write(
                exchange.isRouted() ? Part.REQUEST : Part.ROUTING,
                "Request failed",
                "id",
                exchange.id(),
                "result",
                result,
                "config_version",
                configVersion(),
                "config_age_ms",
                mDirectory.copyAgeMillis(StoreKind.CONFIGURATION),
                "request",
                exchange.knownFingerprint(),
                "route",
                exchange.isRouted() ? exchange.route().name() : "",
                "service",
                exchange.service(),
                "routed_by",
                exchange.routedByVersion(),
                "key",
                exchange.key(),
                "waited_ms",
                (mClock.getAsLong() - exchange.arrivedAtNanos()) / NANOS_PER_MILLI,
                "sends",
                exchange.sendCount(),
                "forwards",
                exchange.triedPeers().size(),
                "from_peer",
                exchange.isFromPeer(),
                "waiting",
                waiting,
                "owner",
                describeOwner(exchange),
                "table_revision",
                tableRevision(exchange),
                "target",
                exchange.isRouted() ? "" : targetOf(exchange.request()));
    }

    /** Returns what routes are looked up by: method, host and path; cut off if it is long. */
    private static String targetOf(Exchange.Request request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        String target = request.method() + " " + host + RequestRouting.pathOf(request.uri());
        return Ascii.truncate(target, MAX_TARGET_CHARS, "...");
    }

    /** Logs that a peer had a server answer the request. */
    void logForwarded(Exchange exchange, String peer, UpstreamResponse response) {
        mLog.write(
                Part.ANSWER,
                "Answered through a peer",
                "id",
                exchange.id(),
                "route",
                exchange.route().name(),
                "service",
                exchange.service(),
                "routed_by",
                exchange.routedByVersion(),
                "status",
                response.status(),
                "peer",
                peer,
                "connection",
                response.connection(),
                "signature",
                signatureOf(response),
                "key",
                exchange.key(),
                "total_ms",
                (mClock.getAsLong() - exchange.arrivedAtNanos()) / NANOS_PER_MILLI,
                "sends",
                exchange.sendCount(),
                "forwards",
                exchange.triedPeers().size(),
                "server",
                Strings.nullToEmpty(response.header(PeerForwarder.SERVER_HEADER)));
    }

    /** Logs that the connection closed before the response could be sent. */
    void logAbandoned(Exchange exchange) {
        mLog.write(
                Part.REQUEST,
                "Connection closed before the response was sent",
                "id",
                exchange.id(),
                "waited_ms",
                (mClock.getAsLong() - exchange.arrivedAtNanos()) / NANOS_PER_MILLI,
                "sends",
                exchange.sendCount(),
                "server",
                exchange.attempt().map(a -> a.upstream().entry().incarnationId()).orElse(""));
    }

    /** Logs that a request was not sent when the connection to its server could carry it. */
    void logWithdrawn(Exchange exchange, Upstream upstream) {
        mLog.write(
                Part.REQUEST,
                "Request was no longer to be sent when the connection was open",
                "id",
                exchange.id(),
                "server",
                upstream.entry().incarnationId(),
                "leaving",
                upstream.leaving(),
                "ended",
                exchange.isEnded(),
                "waited_ms",
                (mClock.getAsLong() - exchange.arrivedAtNanos()) / NANOS_PER_MILLI);
    }

    /** Logs that the deadline header of the caller is not a number and is ignored. */
    void logInvalidDeadline(Exchange exchange, String value) {
        mLog.write(
                Part.REQUEST,
                "Deadline header is not a number and is ignored",
                "id",
                exchange.id(),
                "value",
                value);
    }

    /** Returns the version of the configuration in force, or -1 if there is none. */
    private long configVersion() {
        return mDirectory.configuration().map(RouterConfig::version).orElse(-1L);
    }

    /** Returns the revision of the service's range table, or -1 if there is none. */
    private long tableRevision(Exchange exchange) {
        return mDirectory.table(exchange.service()).map(t -> t.version().revision()).orElse(-1L);
    }

    /** Describes the owner of the key, its state and its load; empty for a request without one. */
    private String describeOwner(Exchange exchange) {
        Optional<RangeTable> table = mDirectory.table(exchange.service());
        if (!exchange.hasKey() || table.isEmpty()) {
            return "";
        }
        Assignment assignment = table.get().find(exchange.key());
        Upstream owner = mUpstreams.get(assignment.owner());
        String load =
                owner == null
                        ? "unknown server"
                        : String.format(
                                Locale.ROOT,
                                "load %.1f of %d slots",
                                owner.load().expectedLoad(mClock.getAsLong()),
                                owner.entry().slots());
        return assignment.owner() + describeOwnerState(exchange, assignment, owner) + ", " + load;
    }

    /** Describes what may keep requests from the owner apart from its load; may be empty. */
    private String describeOwnerState(Exchange exchange, Assignment assignment, Upstream owner) {
        List<String> states = new ArrayList<>();
        if (!mDirectory.tables().mayServe(exchange.service(), assignment)) {
            states.add("moving from " + String.join(" and ", assignment.previous()));
        }
        if (owner != null && owner.load().isSuspect(mClock.getAsLong())) {
            states.add("suspect after requests without an answer");
        }
        if (owner != null && owner.isLeaving()) {
            states.add("leaving");
        }
        if (owner != null && mDirectory.isOutOfService(owner.entry())) {
            states.add("out of service");
        }
        long now = mClock.getAsLong();
        long nextOwnerNanos =
                mDirectory.tables().nextOwnerNotBefore(exchange.service(), exchange.key(), now)
                        - now;
        if (nextOwnerNanos > 0) {
            states.add("next owner in " + nextOwnerNanos / NANOS_PER_MILLI + " ms or later");
        }
        return states.isEmpty() ? "" : " (" + String.join(", ", states) + ")";
    }
}

package org.geraniumusher.entry;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;

import org.geraniumusher.traffic.ServerEntry;

/** Builds the requests that are forwarded to backend servers or passed on to peers. */
final class ForwardedRequests {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private ForwardedRequests() {}

    /**
     * Returns the request of a caller as it is sent to {@code server}: without hop-by-hop headers,
     * with its ID, the time left until the deadline and the ID of the server that may execute it.
     */
    static FullHttpRequest build(
            Exchange exchange, ServerEntry server, HeaderNames names, long nowNanos) {
        FullHttpRequest forwarded = build(exchange, names, nowNanos);
        if (exchange.isFromPeer()) {
            DecidedRoute.remove(forwarded.headers());
        }
        forwarded.headers().set(names.expectedServer(), server.id());
        return forwarded;
    }

    /**
     * Returns the request of a caller as it is passed on to a peer: without hop-by-hop headers,
     * with its ID, the time left until the deadline, and what this daemon's version of the
     * configuration says of it.
     */
    static FullHttpRequest buildForPeer(Exchange exchange, HeaderNames names, long nowNanos) {
        FullHttpRequest forwarded = build(exchange, names, nowNanos);
        DecidedRoute.of(exchange).write(forwarded.headers());
        return forwarded;
    }

    /** Returns what servers and peers get. It keeps the body in memory until it is released. */
    private static FullHttpRequest build(Exchange exchange, HeaderNames names, long nowNanos) {
        Exchange.Request request = exchange.request();
        FullHttpRequest forwarded =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        request.method(),
                        request.uri(),
                        request.content().retainedDuplicate());
        HttpHeaders headers = forwarded.headers();
        headers.set(request.headers());
        HopByHopHeaders.remove(headers);
        long remainingMillis =
                Math.max(1, (exchange.deadlineAtNanos() - nowNanos) / NANOS_PER_MILLI);
        headers.set(names.deadlineMillis(), remainingMillis);
        headers.set(names.requestId(), exchange.id());
        if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        } else {
            headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        }
        return forwarded;
    }
}

package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.handler.codec.http.HttpHeaders;

import org.geraniumusher.traffic.RequestKind;
import org.geraniumusher.traffic.RouteRule;

import java.util.Optional;

/**
 * What the daemon of a caller has decided about a request by its version of the configuration. A
 * peer to which the request is passed on may have another version, so it keeps to this. Immutable.
 *
 * @param service service that runs the request, chosen among those of its route
 * @param kind name of the {@link RequestKind}, on which it depends whether the request is repeated
 */
record DecidedRoute(String service, String kind) {
    /** Headers of requests that are passed on to peers. Servers never get them from a peer. */
    private static final String SERVICE_HEADER = "Geraniumusher-Service";

    private static final String KIND_HEADER = "Geraniumusher-Kind";

    /** Checks that all is given. */
    DecidedRoute {
        checkNotNull(service);
        checkNotNull(kind);
    }

    /** Returns what was decided about a request that has a route. */
    static DecidedRoute of(Exchange exchange) {
        return new DecidedRoute(exchange.service(), exchange.route().kind().name());
    }

    /**
     * Returns what the peer that passed a request on has decided. Empty for requests of callers,
     * whatever they name, and for those of peers that say nothing.
     */
    static Optional<DecidedRoute> ofPeer(Exchange exchange) {
        HttpHeaders headers = exchange.request().headers();
        String service = headers.get(SERVICE_HEADER);
        String kind = headers.get(KIND_HEADER);
        return exchange.isFromPeer() && service != null && kind != null
                ? Optional.of(new DecidedRoute(service, kind))
                : Optional.empty();
    }

    /**
     * Returns whether a request can be handled by a route as was decided. The service need not be
     * one of the route: the version of the peer may have moved it.
     */
    boolean fits(RouteRule route) {
        return route.kind().name().equals(kind);
    }

    void write(HttpHeaders headers) {
        headers.set(SERVICE_HEADER, service);
        headers.set(KIND_HEADER, kind);
    }

    static void remove(HttpHeaders headers) {
        headers.remove(SERVICE_HEADER);
        headers.remove(KIND_HEADER);
    }
}

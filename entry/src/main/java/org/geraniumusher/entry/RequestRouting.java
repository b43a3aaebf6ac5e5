package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.primitives.Ints;

import io.netty.handler.codec.http.HttpHeaderNames;

import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.model.ResultCode;
import org.geraniumusher.traffic.RouteRule;
import org.geraniumusher.traffic.RouterConfig;
import org.geraniumusher.traffic.ServiceRule;

import java.util.Optional;
import java.util.Random;

/**
 * Finds the route, the service and the key of a request by the configuration in force. Confined to
 * the event loop.
 *
 * <p>Invariant: a request that a peer passed on gets the service that the peer has chosen, or no
 * route, whichever of the two has the newer configuration. Otherwise the peer's callers would see
 * it at a version that it does not have. A caller is told that its request can never be served only
 * if no newer configuration may be in force elsewhere.
 */
final class RequestRouting {
    /** The lists of the store are read within this time after a start. */
    private static final double STARTING_RETRY_AFTER_SECONDS = 0.5;

    /** Applies to a route whose service does not exist, until the next configuration adds it. */
    private static final double NO_SERVICE_RETRY_AFTER_SECONDS = 1;

    /** Within this time a daemon asks its peers for a newer configuration. */
    private static final double OUTDATED_RETRY_AFTER_SECONDS = 0.5;

    private final Directory mDirectory;
    private final String mKeyHeader;
    private final Random mRandom;

    /**
     * Why a request cannot be routed.
     *
     * @param retryAfterSeconds delay after which the caller may send it again, if the code allows
     *     it
     */
    record Failure(ResultCode code, double retryAfterSeconds) {}

    RequestRouting(Directory directory, String keyHeader, Random random) {
        mDirectory = checkNotNull(directory);
        mKeyHeader = checkNotNull(keyHeader);
        mRandom = checkNotNull(random);
    }

    /** Sets route, service and key of a request; returns why that is not possible, if so. */
    Optional<Failure> route(Exchange exchange) {
        Optional<RouterConfig> config = mDirectory.configuration();
        if (config.isEmpty() || !mDirectory.isComplete()) {
            return failure(ResultCode.PLATFORM_UNAVAILABLE, STARTING_RETRY_AFTER_SECONDS);
        }
        String host = exchange.request().headers().get(HttpHeaderNames.HOST, "");
        String path = pathOf(exchange.request().uri());
        Optional<RouteRule> route = config.get().match(host, path);
        Optional<DecidedRoute> decided = DecidedRoute.ofPeer(exchange);
        if (route.isEmpty() || decided.isPresent() && !decided.get().fits(route.get())) {
            return denial(exchange, ResultCode.NO_ROUTE);
        }
        exchange.setRoute(
                route.get(),
                decided.map(DecidedRoute::service)
                        .orElseGet(() -> route.get().selectService(mRandom.nextDouble())),
                config.get().version());
        ServiceRule service = config.get().services().get(exchange.service());
        if (service == null) {
            // To the peer, a service that is not known here is as good as a route that is not.
            return decided.isPresent()
                    ? failure(ResultCode.NO_ROUTE, 0)
                    : failure(ResultCode.NO_SERVICE, NO_SERVICE_RETRY_AFTER_SECONDS);
        }
        if (service.keyed() && !parseKey(exchange)) {
            return denial(exchange, ResultCode.NO_KEY);
        }
        return Optional.empty();
    }

    /** Returns a failure with a code that ends the request for its caller, if that is certain. */
    private Optional<Failure> denial(Exchange exchange, ResultCode code) {
        // A peer that passed the request on asks another one in any case.
        boolean isCertain = exchange.isFromPeer() || !mDirectory.mayConfigurationBeOutdated();
        return isCertain
                ? failure(code, 0)
                : failure(ResultCode.CONFIGURATION_OUTDATED, OUTDATED_RETRY_AFTER_SECONDS);
    }

    private static Optional<Failure> failure(ResultCode code, double retryAfterSeconds) {
        return Optional.of(new Failure(code, retryAfterSeconds));
    }

    /** Returns a request target without its query. */
    static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    /** Sets the key of the request from its header; returns false if there is no valid key. */
    private boolean parseKey(Exchange exchange) {
        String value = exchange.request().headers().get(mKeyHeader);
        Integer key = value == null ? null : Ints.tryParse(value.trim());
        if (key == null || key < 0 || key > KeyRange.MAX_KEY) {
            return false;
        }
        exchange.setKey(key);
        return true;
    }
}

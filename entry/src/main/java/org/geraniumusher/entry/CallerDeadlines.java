package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.traffic.RouteRule;

import java.util.HashMap;
import java.util.Map;

/**
 * Sets until when requests must be answered, and since when their callers wait, from the remaining
 * time that callers send. Confined to the event loop.
 */
final class CallerDeadlines {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String mHeader;
    private final RequestLog mRequestLog;
    private final Map<String, Long> mMaxTimeoutNanosByRoute = new HashMap<>();

    /**
     * Creates an instance without observations.
     *
     * @param header name of the header with the remaining time in milliseconds
     */
    CallerDeadlines(String header, RequestLog requestLog) {
        mHeader = checkNotNull(header);
        mRequestLog = checkNotNull(requestLog);
    }

    /** Sets the times of a request that has a route. */
    void setTimes(Exchange exchange) {
        RouteRule route = exchange.route();
        long timeoutNanos = route.timeoutNanos();
        long elapsedNanos = 0;
        String value = exchange.request().headers().get(mHeader);
        if (value != null) {
            try {
                long remainingNanos = (long) (Double.parseDouble(value.trim()) * NANOS_PER_MILLI);
                // The largest remaining time that was seen on the route is taken as the initial
                // one. A request with less is a retry by its caller, and the difference is the
                // time since the first attempt.
                long maxNanos =
                        mMaxTimeoutNanosByRoute.merge(route.name(), remainingNanos, Math::max);
                elapsedNanos = maxNanos - remainingNanos;
                // A peer has applied the time-out of its own version of the route already.
                timeoutNanos =
                        exchange.isFromPeer()
                                ? remainingNanos
                                : Math.min(timeoutNanos, remainingNanos);
            } catch (NumberFormatException e) {
                mRequestLog.logInvalidDeadline(exchange, value);
            }
        }
        exchange.setTimes(
                exchange.arrivedAtNanos() - elapsedNanos, exchange.arrivedAtNanos() + timeoutNanos);
    }
}

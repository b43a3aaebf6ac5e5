package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A response that is not that to the request in flight on its connection. Immutable.
 *
 * @param requestId ID of the request in flight
 * @param responseId ID that the response carries, or an empty string if it carries none
 * @param connection connection, as {@link UpstreamConnection#describe} names it
 * @param isCarried whether the connection carried a request with that ID before
 * @param requestAgeNanos time since the request in flight was sent
 * @param sinceResponseNanos time since the last response that was passed on, or since the request
 *     was sent if there was none
 */
record SkippedResponse(
        String requestId,
        String responseId,
        int status,
        String connection,
        boolean isCarried,
        long requestAgeNanos,
        long sinceResponseNanos) {
    SkippedResponse {
        checkNotNull(requestId);
        checkNotNull(responseId);
        checkNotNull(connection);
    }
}

package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Why a request that was sent has no usable response. Immutable.
 *
 * @param limit limit that the response exceeded, if that is the reason
 * @param receivedBytes number of bytes that arrived after the request was sent
 * @param connection connection of the request, as {@link UpstreamConnection#describe} names it
 */
record ResponseFailure(
        String cause, Optional<ResponseLimit> limit, long receivedBytes, String connection) {
    ResponseFailure {
        checkNotNull(cause);
        checkNotNull(limit);
        checkNotNull(connection);
    }
}

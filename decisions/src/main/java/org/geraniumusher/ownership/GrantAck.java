package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * States that a server has accepted a grant and that no request runs on a slice outside it.
 * Immutable and thread-safe.
 *
 * @param incarnation run of the server
 * @param version version of the accepted grant
 * @param readingNanos clock reading of the accepted grant, which identifies it
 */
public record GrantAck(String service, long incarnation, long version, long readingNanos) {
    /** Refuses an empty service. */
    public GrantAck {
        checkArgument(!service.isBlank(), "acknowledgement without a service");
    }
}

package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Answers an {@link AuthorityRequest}. Immutable and thread-safe.
 *
 * @param from sender of the answer with its present incarnation
 * @param to sender of the request
 * @param version version of the request
 * @param sentNanos time from the request
 * @param acknowledged whether the sender will acknowledge no lower version any more
 * @param knownVersion highest version whose state the sender holds, or 0
 * @param newer state that the sender of the request lacks, if any
 */
public record AuthorityAck(
        String service,
        MemberId from,
        MemberId to,
        long version,
        long sentNanos,
        boolean acknowledged,
        long knownVersion,
        Optional<VersionedState> newer) {
    /** Refuses nulls. */
    public AuthorityAck {
        checkNotNull(service, "service");
        checkNotNull(from, "from");
        checkNotNull(to, "to");
        checkNotNull(newer, "newer");
    }
}

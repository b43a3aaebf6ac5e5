package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * Asks a member to acknowledge a version. The acknowledgement gives the sender authority when the
 * receiver is in the group of that version, and fences all lower versions in any case. Immutable
 * and thread-safe.
 *
 * @param to receiver; another incarnation of the same daemon refuses
 * @param sentNanos time of sending in the sender's clock, returned in the answer
 * @param state state of the version, when the receiver may not have it
 */
public record AuthorityRequest(
        String service,
        MemberId from,
        MemberId to,
        long version,
        long sentNanos,
        Optional<VersionedState> state) {
    /** Refuses nulls. */
    public AuthorityRequest {
        checkNotNull(service, "service");
        checkNotNull(from, "from");
        checkNotNull(to, "to");
        checkNotNull(state, "state");
    }
}

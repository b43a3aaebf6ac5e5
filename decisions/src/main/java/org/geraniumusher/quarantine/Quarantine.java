package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * The decision that a request is no longer sent to servers, because servers terminated while they
 * ran it. The coordinator writes it to the store. Immutable.
 *
 * @param fingerprint the request
 * @param state whether daemons reject the request
 * @param service service of the request
 * @param target method, host and path of the request, for operators; may be shortened
 * @param incarnations the server incarnations that terminated under the request
 * @param sinceMillis wall clock time in milliseconds since 1970 at which the state began
 * @param durationMillis time in milliseconds for which the state lasts
 */
public record Quarantine(
        RequestFingerprint fingerprint,
        State state,
        String service,
        String target,
        ImmutableList<String> incarnations,
        long sinceMillis,
        long durationMillis) {

    /** What daemons do with the request. */
    public enum State {
        /** The request is rejected as not run. */
        REJECTED,
        /**
         * The request is sent to servers again; one more crash starts a quarantine of twice the
         * duration, and a success ends the quarantine.
         */
        PROBATION
    }

    /** Checks that no part is missing. */
    public Quarantine {
        checkNotNull(fingerprint);
        checkNotNull(state);
        checkNotNull(service);
        checkNotNull(target);
        checkNotNull(incarnations);
    }
}

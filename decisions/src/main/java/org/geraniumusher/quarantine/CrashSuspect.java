package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A request that was in progress at a server when the server crashed, and that may have caused the
 * crash. Immutable.
 *
 * @param service service of the request
 * @param target method, host and path of the request; may be shortened
 */
public record CrashSuspect(RequestFingerprint fingerprint, String service, String target) {
    /** Rejects nulls. */
    public CrashSuspect {
        checkNotNull(fingerprint);
        checkNotNull(service);
        checkNotNull(target);
    }
}

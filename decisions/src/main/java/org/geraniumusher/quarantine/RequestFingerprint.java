package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Identifies a request that a caller repeats, at any daemon, under a new request ID each time.
 * Immutable.
 *
 * @param hex 32 lower-case hexadecimal digits
 */
public record RequestFingerprint(String hex) {
    private static final int HEX_DIGITS = 32;

    /** Rejects a text that is not a fingerprint. */
    public RequestFingerprint {
        checkArgument(
                hex.length() == HEX_DIGITS && hex.matches("[0-9a-f]*"),
                "fingerprint is not %s hexadecimal digits: %s",
                HEX_DIGITS,
                hex);
    }

    @Override
    public String toString() {
        return hex;
    }
}

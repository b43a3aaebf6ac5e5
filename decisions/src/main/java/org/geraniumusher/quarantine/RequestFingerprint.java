package org.geraniumusher.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

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

    /**
     * Returns the fingerprint of a request: the first 128 bits of SHA-256 over its parts, each with
     * its length before it. A hash that callers cannot steer keeps them from giving their request
     * the fingerprint of another one.
     */
    public static RequestFingerprint ofParts(Iterable<byte[]> parts) {
        Hasher hasher = Hashing.sha256().newHasher();
        for (byte[] part : parts) {
            hasher.putInt(part.length).putBytes(part);
        }
        return new RequestFingerprint(hasher.hash().toString().substring(0, HEX_DIGITS));
    }

    @Override
    public String toString() {
        return hex;
    }
}

package org.geraniumusher.model;

import com.google.common.hash.Hashing;

import java.nio.charset.StandardCharsets;

/**
 * Hashes keys into the unsigned 64-bit hash space. The function is part of the stored format: a
 * change would move every key. Thread-safe.
 */
public final class KeyHash {
    private KeyHash() {}

    /** Returns the first 8 bytes of the 128-bit MurmurHash3 of the key in UTF-8. */
    public static long of(String key) {
        return Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
    }
}

package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Names a range of the hash space that a grant covers. Immutable and thread-safe.
 *
 * @param first first hash, unsigned
 * @param last last hash, unsigned and inclusive
 * @param epoch fencing token of the assignment
 */
public record GrantRange(long first, long last, long epoch) {
    /** Checks the range. */
    public GrantRange {
        checkArgument(Long.compareUnsigned(first, last) <= 0, "bad range: %s to %s", first, last);
    }

    /** Reports whether the range holds {@code hash}. */
    public boolean contains(long hash) {
        return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
    }
}

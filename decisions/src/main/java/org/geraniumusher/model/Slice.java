package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Assigns a range of the hash space to an owner. Immutable and thread-safe.
 *
 * @param first first hash of the range, unsigned
 * @param last last hash of the range, unsigned and inclusive
 * @param owner backend server that owns the range, or "" while there is none
 * @param epoch fencing token of the assignment; grows with each change of owner
 * @param pending backend server that the range moves to, or ""
 */
public record Slice(long first, long last, String owner, long epoch, String pending) {
    /** Checks the range. */
    public Slice {
        checkArgument(Long.compareUnsigned(first, last) <= 0, "bad range: %s to %s", first, last);
        checkArgument(epoch >= 0, "bad epoch: %s", epoch);
        checkArgument(owner != null && pending != null, "owner or pending is null");
    }

    /** Reports whether the range holds {@code hash}. */
    public boolean contains(long hash) {
        return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
    }

    /** Reports whether the slice has an owner. */
    public boolean hasOwner() {
        return !owner.isEmpty();
    }

    /** Returns a copy with another owner and epoch and no pending move. */
    public Slice ownedBy(String newOwner, long newEpoch) {
        return new Slice(first, last, newOwner, newEpoch, "");
    }

    /** Returns a copy that is about to move to {@code target}. */
    public Slice movingTo(String target) {
        return new Slice(first, last, owner, epoch, target);
    }
}

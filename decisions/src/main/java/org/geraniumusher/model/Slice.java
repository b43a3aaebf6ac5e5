package org.geraniumusher.model;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Assigns a range of the hash space to an owner. Immutable and thread-safe.
 *
 * @param first first hash of the range, unsigned
 * @param last last hash of the range, unsigned and inclusive
 * @param owner backend server that owns the range, or "" while there is none
 * @param epoch fencing token of the assignment; grows with each change of owner
 * @param previous former owner whose grants may still be valid, or ""
 * @param pending backend server that prepares to take the range over, or ""
 */
public record Slice(
        long first, long last, String owner, long epoch, String previous, String pending) {
    /** Checks the range. */
    public Slice {
        checkArgument(Long.compareUnsigned(first, last) <= 0, "bad range: %s to %s", first, last);
        checkArgument(epoch >= 0, "bad epoch: %s", epoch);
        checkNotNull(owner, "owner");
        checkNotNull(previous, "previous");
        checkNotNull(pending, "pending");
    }

    /** Reports whether the range holds {@code hash}. */
    public boolean contains(long hash) {
        return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
    }

    /** Reports whether the slice has an owner. */
    public boolean hasOwner() {
        return !owner.isEmpty();
    }

    /**
     * Returns a copy with another owner and epoch and no pending move; the present owner becomes
     * the previous one. A previous owner that is still recorded must have been stopped before.
     */
    public Slice assignedTo(String newOwner, long newEpoch) {
        checkArgument(newEpoch > epoch, "epoch %s after %s", newEpoch, epoch);
        return new Slice(first, last, newOwner, newEpoch, owner, "");
    }

    /** Returns a copy that {@code target} prepares to take over. */
    public Slice movingTo(String target) {
        return new Slice(first, last, owner, epoch, previous, target);
    }

    /** Returns a copy without a previous owner, whose grants have ended. */
    public Slice withoutPrevious() {
        return new Slice(first, last, owner, epoch, "", pending);
    }
}

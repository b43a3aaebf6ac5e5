package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Assigns a key range to one incarnation of a backend server. Immutable.
 *
 * @param owner ID of the incarnation that owns the range
 * @param fence fencing token, or {@link #UNSET_FENCE}
 * @param previous IDs of the incarnations that may still hold keys of the range; the owner must not
 *     be granted the range until this list is empty or each of their holds is known to have ended
 */
public record Assignment(KeyRange range, String owner, long fence, ImmutableList<String> previous) {
    /**
     * Placeholder for a fence that is set from the version of the write that stores the assignment.
     */
    public static final long UNSET_FENCE = 0;

    /** Throws {@link IllegalArgumentException} if the fence is negative. */
    public Assignment {
        checkNotNull(range);
        checkNotNull(owner);
        checkNotNull(previous);
        checkArgument(fence >= 0, "fence is negative: %s", fence);
    }

    /** Returns an assignment without a fence and without previous holders. */
    public static Assignment of(KeyRange range, String owner) {
        return new Assignment(range, owner, UNSET_FENCE, ImmutableList.of());
    }

    /** Reports whether other incarnations may still hold keys of the range. */
    public boolean isMoving() {
        return !previous.isEmpty();
    }

    /** Returns a copy with the fence {@code newFence}, or this assignment if its fence is set. */
    public Assignment withFenceIfUnset(long newFence) {
        return fence == UNSET_FENCE ? new Assignment(range, owner, newFence, previous) : this;
    }

    /**
     * Returns a copy for {@code part} of the range, with the same owner, fence and previous
     * holders.
     */
    public Assignment withRange(KeyRange part) {
        return new Assignment(part, owner, fence, previous);
    }

    /** Returns a copy with {@code holders} as the previous holders. */
    public Assignment withPrevious(ImmutableList<String> holders) {
        return new Assignment(range, owner, fence, holders);
    }
}

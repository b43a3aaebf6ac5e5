package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Assigns a range to one life of a backend server. Immutable.
 *
 * @param fence fencing token, or {@link #UNSTAMPED}
 * @param previous lives that may still hold keys of the range; while there are any, the owner must
 *     not be granted the range
 */
public record Assignment(KeyRange range, String owner, long fence, ImmutableList<String> previous) {
    /** Stands for the revision of the write that stores the assignment. */
    public static final long UNSTAMPED = 0;

    /** Refuses nulls and negative fences. */
    public Assignment {
        checkNotNull(range);
        checkNotNull(owner);
        checkNotNull(previous);
        checkArgument(fence >= 0, "bad fence: %s", fence);
    }

    /** Returns an assignment that nobody held before. */
    public static Assignment of(KeyRange range, String owner) {
        return new Assignment(range, owner, UNSTAMPED, ImmutableList.of());
    }

    /** Reports whether another server may still hold keys of the range. */
    public boolean isMoving() {
        return !previous.isEmpty();
    }

    /** Returns a copy with the fence {@code revision} where this one has none. */
    public Assignment stamped(long revision) {
        return fence == UNSTAMPED ? new Assignment(range, owner, revision, previous) : this;
    }

    /** Returns a copy for a part of the range. */
    public Assignment withRange(KeyRange part) {
        return new Assignment(part, owner, fence, previous);
    }

    /** Returns a copy with other previous holders. */
    public Assignment withPrevious(ImmutableList<String> holders) {
        return new Assignment(range, owner, fence, holders);
    }
}

package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a slice and the server that shall own it. Immutable and thread-safe.
 *
 * @param first first hash of the slice, which identifies it
 * @param from present owner, or "" if there is none
 * @param to next owner
 */
public record Move(long first, String from, String to, MoveReason reason) {
    /** Refuses a move to the present owner. */
    public Move {
        checkArgument(!to.isBlank(), "move of the slice at %s without a target", first);
        checkArgument(!to.equals(from), "move of the slice at %s to its owner %s", first, to);
        checkNotNull(from, "from");
        checkNotNull(reason, "reason");
    }
}

package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes what a reachable backend server can take. A server that is lost is not described at
 * all. Immutable and thread-safe.
 *
 * @param slots requests that it executes at once when warm
 * @param coldSlots requests that it bears at once just after a start
 */
public record ServerCapacity(String name, int slots, int coldSlots, Condition condition) {
    /** States how a server takes part in the assignment. */
    public enum Condition {
        /** Takes slices up to its slots. */
        WARM,
        /** Has just started; takes slices one at a time, up to its cold slots. */
        COLD,
        /** Still serves, but gives its slices away. */
        DRAINING
    }

    /** Checks the limits. */
    public ServerCapacity {
        checkArgument(!name.isBlank(), "server without a name");
        checkArgument(
                coldSlots >= 1 && coldSlots <= slots,
                "bad slots of %s: %s cold, %s warm",
                name,
                coldSlots,
                slots);
        checkNotNull(condition, "condition");
    }

    /** Returns the requests that it executes at once in its present condition. */
    int usableSlots() {
        return condition == Condition.COLD ? coldSlots : slots;
    }

    boolean isDraining() {
        return condition == Condition.DRAINING;
    }
}

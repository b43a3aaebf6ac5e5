package org.geraniumusher.balance;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Holds the moves to start now. Immutable and thread-safe.
 *
 * @param isRebalancing state of the hysteresis, to be passed to the next planning
 */
public record BalancePlan(List<Move> moves, boolean isRebalancing) {
    /** Copies the moves. */
    public BalancePlan {
        moves = ImmutableList.copyOf(moves);
    }
}

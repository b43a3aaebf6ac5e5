package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds the moves. Immutable and thread-safe.
 *
 * @param movesPerMinute moves of all reasons after which none is started for balance
 * @param warmIncoming moves in flight towards a warm server
 * @param coldIncoming moves in flight towards a cold server
 * @param bigShare share of the mean load of a server from which the move of a slice is big
 * @param minGain least fall of the higher load of the two servers, as a share of the mean load,
 *     that is worth a move
 */
public record BalanceLimits(
        int movesPerMinute, int warmIncoming, int coldIncoming, double bigShare, double minGain) {
    /**
     * The defaults: a move interrupts a slice for about two round trips and loses the caches of its
     * keys, so 32 moves a minute touch an eighth of 256 slices at most.
     */
    public static final BalanceLimits DEFAULT = new BalanceLimits(32, 4, 1, 0.25, 0.005);

    /** Checks the bounds. */
    public BalanceLimits {
        checkArgument(movesPerMinute >= 0, "bad movesPerMinute: %s", movesPerMinute);
        checkArgument(warmIncoming >= 1, "bad warmIncoming: %s", warmIncoming);
        checkArgument(coldIncoming >= 1, "bad coldIncoming: %s", coldIncoming);
        checkArgument(bigShare > 0, "bad bigShare: %s", bigShare);
        checkArgument(minGain > 0, "bad minGain, which would allow oscillation: %s", minGain);
    }

    int incoming(ServerCapacity server) {
        return server.condition() == ServerCapacity.Condition.COLD ? coldIncoming : warmIncoming;
    }
}

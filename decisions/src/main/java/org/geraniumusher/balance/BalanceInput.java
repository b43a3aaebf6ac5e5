package org.geraniumusher.balance;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import java.util.List;

/**
 * Holds everything that a planning depends on. Immutable and thread-safe.
 *
 * @param servers the reachable servers of the service, draining ones included
 * @param inFlight moves that have been started and are not complete
 * @param movesInLastMinute moves started in the last 60 s
 * @param isRebalancing state of the hysteresis after the last planning
 */
public record BalanceInput(
        List<SliceLoad> slices,
        List<ServerCapacity> servers,
        List<Move> inFlight,
        int movesInLastMinute,
        boolean isRebalancing,
        BalanceLimits limits) {
    /** Copies the lists. */
    public BalanceInput {
        slices = ImmutableList.copyOf(slices);
        servers = ImmutableList.copyOf(servers);
        inFlight = ImmutableList.copyOf(inFlight);
        checkArgument(movesInLastMinute >= 0, "bad movesInLastMinute: %s", movesInLastMinute);
    }

    /** Returns a builder without moves in flight and with the default limits. */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds an input. Not thread-safe. */
    public static final class Builder {
        private List<SliceLoad> mSlices = ImmutableList.of();
        private List<ServerCapacity> mServers = ImmutableList.of();
        private List<Move> mInFlight = ImmutableList.of();
        private int mMovesInLastMinute;
        private boolean mIsRebalancing;
        private BalanceLimits mLimits = BalanceLimits.DEFAULT;

        private Builder() {}

        /** Sets the slices of the service. */
        public Builder slices(List<SliceLoad> slices) {
            mSlices = slices;
            return this;
        }

        /** Sets the reachable servers. */
        public Builder servers(List<ServerCapacity> servers) {
            mServers = servers;
            return this;
        }

        /** Sets the moves that are not complete. */
        public Builder inFlight(List<Move> moves) {
            mInFlight = moves;
            return this;
        }

        /** Sets the number of moves started in the last 60 s. */
        public Builder movesInLastMinute(int count) {
            mMovesInLastMinute = count;
            return this;
        }

        /** Sets the state of the hysteresis from the last plan. */
        public Builder isRebalancing(boolean isRebalancing) {
            mIsRebalancing = isRebalancing;
            return this;
        }

        /** Sets the limits. */
        public Builder limits(BalanceLimits limits) {
            mLimits = limits;
            return this;
        }

        /** Returns the input. */
        public BalanceInput build() {
            return new BalanceInput(
                    mSlices, mServers, mInFlight, mMovesInLastMinute, mIsRebalancing, mLimits);
        }
    }
}

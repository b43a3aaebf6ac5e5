package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes the next state of a shard from the present one: one step of each move. Not thread-safe.
 *
 * <p>A slice that still names a previous owner gets no other owner before that one has stopped,
 * since only one previous owner can be recorded.
 */
final class MovePlanner {
    private final AssignmentPolicy mPolicy;
    private final int mMaxInFlight;

    MovePlanner(AssignmentPolicy policy, int maxInFlight) {
        mPolicy = policy;
        mMaxInFlight = maxInFlight;
    }

    /** States the facts that the moves of one step depend on. */
    interface Facts {
        /** Returns the servers that may receive slices. */
        ImmutableSortedSet<String> receivers();

        /** Reports whether a server counts as lost. */
        boolean isLost(String server);

        /** Reports whether no grant of the slice's previous owner can be valid any more. */
        boolean isReleased(Slice slice);

        /** Reports whether the pending owner has had the time to warm the slice. */
        boolean isWarmed(Slice slice);

        /** Reports whether a planned move would be completed without a wait. */
        boolean mayMovePlanned();
    }

    /** Returns the next state, or {@code state} itself when nothing is to be done. */
    ShardState next(ShardState state, Facts facts) {
        ImmutableSortedSet<String> receivers = facts.receivers();
        List<String> wanted = receivers.isEmpty() ? null : mPolicy.wantedOwners(state, receivers);
        Step step = new Step(facts, receivers, state.lastEpoch(), inFlight(state));
        ImmutableList.Builder<Slice> slices = ImmutableList.builder();
        for (int i = 0; i < state.slices().size(); i++) {
            Slice slice = state.slices().get(i);
            slices.add(step.advance(slice, wanted == null ? "" : wanted.get(i)));
        }
        ImmutableList<Slice> advanced = slices.build();
        return advanced.equals(state.slices())
                ? state
                : state.withSlices(step.mLastEpoch, advanced);
    }

    private static Map<String, Integer> inFlight(ShardState state) {
        Map<String, Integer> counts = new HashMap<>();
        for (Slice slice : state.slices()) {
            if (!slice.pending().isEmpty()) {
                counts.merge(slice.pending(), 1, Integer::sum);
            } else if (!slice.previous().isEmpty()) {
                counts.merge(slice.owner(), 1, Integer::sum);
            }
        }
        return counts;
    }

    /** Advances the slices of one state. */
    private final class Step {
        private final Facts mFacts;
        private final ImmutableSortedSet<String> mReceivers;
        private final Map<String, Integer> mInFlight;
        private long mLastEpoch;

        Step(
                Facts facts,
                ImmutableSortedSet<String> receivers,
                long lastEpoch,
                Map<String, Integer> inFlight) {
            mFacts = facts;
            mReceivers = receivers;
            mLastEpoch = lastEpoch;
            mInFlight = inFlight;
        }

        private Slice advance(Slice old, String wanted) {
            Slice slice = tidied(old);
            if (!slice.previous().isEmpty()) {
                return slice;
            }
            boolean elsewhere = !wanted.isEmpty() && !wanted.equals(slice.owner());
            if (!slice.hasOwner() || mFacts.isLost(slice.owner())) {
                return elsewhere ? assigned(slice, wanted) : slice;
            }
            if (!mFacts.mayMovePlanned()) {
                return slice;
            }
            if (!slice.pending().isEmpty()) {
                return mFacts.isWarmed(slice) ? assigned(slice, slice.pending()) : slice;
            }
            return elsewhere && hasRoom(wanted) ? prepared(slice, wanted) : slice;
        }

        private Slice tidied(Slice slice) {
            boolean released = !slice.previous().isEmpty() && mFacts.isReleased(slice);
            Slice tidy = released ? slice.withoutPrevious() : slice;
            boolean vain = !tidy.pending().isEmpty() && !mReceivers.contains(tidy.pending());
            return vain ? tidy.movingTo("") : tidy;
        }

        private Slice assigned(Slice slice, String server) {
            return slice.assignedTo(server, ++mLastEpoch);
        }

        private boolean hasRoom(String server) {
            return mInFlight.getOrDefault(server, 0) < mMaxInFlight;
        }

        private Slice prepared(Slice slice, String server) {
            mInFlight.merge(server, 1, Integer::sum);
            return slice.movingTo(server);
        }
    }
}

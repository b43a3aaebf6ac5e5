package org.geraniumusher.ownership;

import org.geraniumusher.model.Slice;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Decides when the new owner of a slice may be granted it: when no grant of the previous owner can
 * be valid any more. Not thread-safe.
 *
 * <p>Either the authority for all versions below the assignment has lapsed, or no member uses such
 * a version any more and the previous owner has then accepted a grant without the slice. The order
 * matters: a server that restarts after its acknowledgement has forgotten it, and would accept a
 * grant of an older version from a member that still uses one.
 */
final class Releases {
    private final Fences mFences;
    private final Servers mServers;

    /** Version from which on each assignment holds, by epoch; of slices with a previous owner. */
    private final Map<Long, Long> mAssigned = new HashMap<>();

    private final Set<Long> mReleased = new HashSet<>();
    private final Set<Long> mStopping = new HashSet<>();

    /** Epochs of slices whose previous owner was silent for too long at some time. */
    private final Set<Long> mLost = new HashSet<>();

    /** Time at which a pending move became known, by first hash of the slice. */
    private final Map<Long, Warming> mWarming = new HashMap<>();

    Releases(Fences fences, Servers servers) {
        mFences = fences;
        mServers = servers;
    }

    void adopt(long nowNanos, VersionedState known) {
        Set<Long> moving = new HashSet<>();
        Set<Long> warming = new HashSet<>();
        for (Slice slice : known.state().slices()) {
            if (!slice.previous().isEmpty()) {
                moving.add(slice.epoch());
                mAssigned.putIfAbsent(slice.epoch(), known.version());
            }
            if (!slice.pending().isEmpty()) {
                warming.add(slice.first());
                Warming old = mWarming.get(slice.first());
                if (old == null || !old.server().equals(slice.pending())) {
                    mWarming.put(slice.first(), new Warming(slice.pending(), nowNanos));
                }
            }
        }
        mAssigned.keySet().retainAll(moving);
        mReleased.retainAll(moving);
        mStopping.retainAll(moving);
        mLost.retainAll(moving);
        mWarming.keySet().retainAll(warming);
    }

    /** Reports whether some slice still names a previous owner. */
    boolean isAnyMoving() {
        return !mAssigned.isEmpty();
    }

    /** Reports whether the owner of the slice may be granted it. */
    boolean isReleased(long nowNanos, Slice slice) {
        if (slice.previous().isEmpty() || mReleased.contains(slice.epoch())) {
            return true;
        }
        return hasLapsed(nowNanos, slice) || hasStopped(slice);
    }

    private boolean hasLapsed(long nowNanos, Slice slice) {
        boolean fenced = mServers.isFenced(slice.previous());
        long version = mAssigned.get(slice.epoch());
        return mFences.isLapsed(nowNanos, version, OwnershipTimes.lapseNanos(fenced))
                && (!fenced
                        || mLost.contains(slice.epoch())
                        || mServers.get(slice.previous()).hasAccepted(version));
    }

    private boolean hasStopped(Slice slice) {
        long version = mAssigned.get(slice.epoch());
        OptionalLong unused = mFences.unusedSince(version);
        return unused.isPresent()
                && mServers.isFenced(slice.previous())
                && mServers.get(slice.previous()).hasAcceptedSince(version, unused.getAsLong());
    }

    /** Returns the server whose next poll should not wait for its turn, once per step of a move. */
    Optional<String> hurriedServer(long nowNanos, Slice slice) {
        if (slice.previous().isEmpty() || mReleased.contains(slice.epoch())) {
            return Optional.empty();
        }
        if (mServers.isLost(nowNanos, slice.previous())) {
            mLost.add(slice.epoch());
        }
        if (isReleased(nowNanos, slice)) {
            mReleased.add(slice.epoch());
            return Optional.of(slice.owner());
        }
        boolean unused = mFences.unusedSince(mAssigned.get(slice.epoch())).isPresent();
        return unused && mStopping.add(slice.epoch())
                ? Optional.of(slice.previous())
                : Optional.empty();
    }

    boolean isWarmed(long nowNanos, Slice slice) {
        Warming warming = mWarming.get(slice.first());
        return warming != null && nowNanos - warming.sinceNanos() >= OwnershipTimes.WARMING_NANOS;
    }

    /** Records since when a server prepares to take a slice over. */
    private record Warming(String server, long sinceNanos) {}
}

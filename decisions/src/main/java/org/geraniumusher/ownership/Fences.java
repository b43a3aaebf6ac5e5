package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.ShardState;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Tracks from when on no authority can be obtained for the versions below a given one.
 *
 * <p>A version is fenced when, in each group that may hold authority for a lower one, a majority
 * has acknowledged it or a higher one. A member that is certainly gone counts as having done so.
 * Losing an entry only delays a decision. Not thread-safe.
 */
final class Fences {
    /** Bounds the memory while nothing can be fenced; only the oldest entries are dropped. */
    private static final int MAX_ENTRIES = 256;

    private final MemberId mSelf;
    private final Predicate<MemberId> mGone;
    private final Map<MemberId, Long> mAcknowledged = new HashMap<>();
    private final NavigableMap<Long, Fence> mFences = new TreeMap<>();

    Fences(MemberId self, Predicate<MemberId> gone) {
        mSelf = self;
        mGone = gone;
    }

    /** Starts to fence the versions below {@code known}, which this member uses from now on. */
    void begin(long nowNanos, VersionedState known) {
        mFences.put(known.version(), new Fence(known.state()));
        if (mFences.size() > MAX_ENTRIES) {
            mFences.pollFirstEntry();
        }
        acknowledge(nowNanos, mSelf, known.version());
    }

    /** Records that a member will acknowledge no version below {@code version} any more. */
    void acknowledge(long nowNanos, MemberId member, long version) {
        mAcknowledged.merge(member, version, Math::max);
        evaluate(nowNanos);
    }

    /** Looks again which versions are fenced, after a member was found to be gone. */
    void evaluate(long nowNanos) {
        for (Map.Entry<Long, Fence> entry : mFences.entrySet()) {
            long version = entry.getKey();
            Fence fence = entry.getValue();
            if (fence.mMajorityNanos.isEmpty() && fence.hasMajority(m -> has(m, version))) {
                fence.mMajorityNanos = OptionalLong.of(nowNanos);
            }
            if (fence.mAllNanos.isEmpty() && fence.hasAll(m -> has(m, version))) {
                fence.mAllNanos = OptionalLong.of(nowNanos);
            }
        }
        prune(nowNanos);
    }

    private boolean has(MemberId member, long version) {
        return mGone.test(member) || mAcknowledged.getOrDefault(member, 0L) >= version;
    }

    private void prune(long nowNanos) {
        Long lapsed = null;
        for (Map.Entry<Long, Fence> entry : mFences.entrySet()) {
            if (entry.getValue().isLapsed(nowNanos, OwnershipTimes.lapseNanos(false))) {
                lapsed = entry.getKey();
            }
        }
        if (lapsed != null && mFences.headMap(lapsed, false).size() > 0) {
            mFences.headMap(lapsed, false).clear();
            mAcknowledged
                    .keySet()
                    .removeIf(m -> mFences.values().stream().noneMatch(f -> f.names(m)));
        }
    }

    /** Reports whether all authority below {@code version} ended at least this long ago. */
    boolean isLapsed(long nowNanos, long version, long lapseNanos) {
        return mFences.tailMap(version, true).values().stream()
                .anyMatch(f -> f.isLapsed(nowNanos, lapseNanos));
    }

    /** Returns since when no member uses a version below {@code version}, if that is known. */
    OptionalLong unusedSince(long version) {
        return mFences.tailMap(version, true).values().stream()
                .map(f -> f.mAllNanos)
                .filter(OptionalLong::isPresent)
                .mapToLong(OptionalLong::getAsLong)
                .min();
    }

    /** Returns the listed groups from which no valid grant can remain. */
    ImmutableList<List<String>> lapsedGroups(long nowNanos) {
        for (Fence fence : mFences.descendingMap().values()) {
            if (fence.isLapsed(nowNanos, OwnershipTimes.lapseNanos(true))) {
                return fence.mFormerGroups;
            }
        }
        return ImmutableList.of();
    }

    /** Holds the groups that one version fences, and when they were found to be fenced. */
    private static final class Fence {
        private final ImmutableList<List<MemberId>> mGroups;
        private final ImmutableList<List<String>> mFormerGroups;
        private OptionalLong mMajorityNanos = OptionalLong.empty();
        private OptionalLong mAllNanos = OptionalLong.empty();

        Fence(ShardState state) {
            List<List<MemberId>> groups = new ArrayList<>();
            groups.add(Groups.parse(state.group()));
            state.unfencedGroups().forEach(g -> groups.add(Groups.parse(g)));
            mGroups = ImmutableList.copyOf(groups);
            // A former group that is the present one again may still obtain authority.
            mFormerGroups =
                    state.unfencedGroups().stream()
                            .filter(g -> !g.equals(state.group()))
                            .collect(ImmutableList.toImmutableList());
        }

        private boolean hasMajority(Predicate<MemberId> acknowledged) {
            return mGroups.stream()
                    .allMatch(g -> g.stream().filter(acknowledged).count() >= Groups.majority(g));
        }

        private boolean hasAll(Predicate<MemberId> acknowledged) {
            return mGroups.stream().allMatch(g -> g.stream().allMatch(acknowledged));
        }

        private boolean names(MemberId member) {
            return mGroups.stream().anyMatch(g -> g.contains(member));
        }

        private boolean isLapsed(long nowNanos, long lapseNanos) {
            return mMajorityNanos.isPresent()
                    && nowNanos - mMajorityNanos.getAsLong() >= lapseNanos;
        }
    }
}

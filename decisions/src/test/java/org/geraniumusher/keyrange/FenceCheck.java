package org.geraniumusher.keyrange;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.Range;
import com.google.common.collect.RangeMap;
import com.google.common.collect.TreeRangeMap;

import java.util.HashMap;
import java.util.Map;

/**
 * Checks that a server takes a key only with a fence above all those with which other servers had
 * it. Not thread-safe.
 */
final class FenceCheck {
    /** The highest fence with which each server had each key. */
    private final Map<String, RangeMap<Integer, Long>> mFences = new HashMap<>();

    void onTaken(Assignment taken) {
        Range<Integer> keys = Range.closedOpen(taken.range().first(), taken.range().last() + 1);
        mFences.forEach(
                (incarnationId, fences) -> {
                    if (!incarnationId.equals(taken.owner())) {
                        fences.subRangeMap(keys)
                                .asMapOfRanges()
                                .forEach(
                                        (had, fence) ->
                                                assertWithMessage(
                                                                "fence of %s; %s had %s",
                                                                taken, incarnationId, had)
                                                        .that(taken.fence())
                                                        .isGreaterThan(fence));
                    }
                });
        mFences.computeIfAbsent(taken.owner(), id -> TreeRangeMap.create())
                .merge(keys, taken.fence(), Math::max);
    }
}

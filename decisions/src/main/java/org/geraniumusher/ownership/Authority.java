package org.geraniumusher.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Computes until when a member may renew grants of the version it knows. A member that is gone does
 * not count here: it could not refuse a member that was fenced without it. Not thread-safe.
 */
final class Authority {
    private final MemberId mSelf;
    private final Map<MemberId, Long> mSentNanos = new HashMap<>();
    private List<MemberId> mGroup = List.of();

    Authority(MemberId self) {
        mSelf = self;
    }

    /** Gives up the present authority and starts to collect acknowledgements of a group. */
    void restart(List<MemberId> group) {
        mSentNanos.clear();
        mGroup = group;
    }

    /** Counts the acknowledgement of a request of the present version. */
    void acknowledge(MemberId member, long sentNanos) {
        if (mGroup.contains(member)) {
            mSentNanos.merge(member, sentNanos, Math::max);
        }
    }

    /** Returns the end of the authority, or nothing when there is none. */
    OptionalLong until(long nowNanos) {
        if (!mGroup.contains(mSelf)) {
            return OptionalLong.empty();
        }
        List<Long> sent = new ArrayList<>(mSentNanos.values());
        sent.add(nowNanos);
        sent.sort(Comparator.reverseOrder());
        int majority = Groups.majority(mGroup);
        if (sent.size() < majority) {
            return OptionalLong.empty();
        }
        long until = sent.get(majority - 1) + OwnershipTimes.AUTHORITY_NANOS;
        return until - nowNanos > 0 ? OptionalLong.of(until) : OptionalLong.empty();
    }
}

package org.geraniumusher.keyrange;

import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Records the calls of the coordinator. */
final class RecordedCalls implements RangeCoordinator.OutgoingCalls {
    private final List<ImmutableList<Assignment>> mWrites = new ArrayList<>();
    private final List<Assignment> mGrants = new ArrayList<>();
    private final List<Long> mHolds = new ArrayList<>();
    private final List<String> mReleases = new ArrayList<>();
    private final List<Long> mExpectedRevisions = new ArrayList<>();

    @Override
    public void write(ImmutableList<Assignment> assignments, long expectedRevision) {
        mWrites.add(assignments);
        mExpectedRevisions.add(expectedRevision);
    }

    @Override
    public void grant(Assignment assignment, long holdNanos, Optional<String> handover) {
        mGrants.add(assignment);
        mHolds.add(holdNanos);
    }

    @Override
    public void release(String incarnationId, KeyRange range, long fence) {
        mReleases.add(incarnationId);
    }

    List<ImmutableList<Assignment>> writes() {
        return mWrites;
    }

    List<Assignment> grants() {
        return mGrants;
    }

    List<Long> holds() {
        return mHolds;
    }

    List<String> releases() {
        return mReleases;
    }

    List<Long> expectedRevisions() {
        return mExpectedRevisions;
    }

    void clear() {
        mWrites.clear();
        mGrants.clear();
        mHolds.clear();
        mReleases.clear();
        mExpectedRevisions.clear();
    }

    Set<KeyRange> grantedRanges(String owner) {
        return mGrants.stream()
                .filter(g -> g.owner().equals(owner))
                .map(Assignment::range)
                .collect(Collectors.toSet());
    }

    List<String> grantedOwners() {
        return mGrants.stream().map(Assignment::owner).toList();
    }
}

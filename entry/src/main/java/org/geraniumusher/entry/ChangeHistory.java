package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the most recent changes of one kind of objects, in batches. Not thread-safe.
 *
 * <p>Invariant: for each revision not below {@code mOldestRevision}, applying the changes after it
 * in order to the state at that revision gives the current state.
 */
final class ChangeHistory {
    /** Covers several seconds of changes; a follower asks again within one second. */
    private static final int MAX_BATCHES = 64;

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mOldestRevision = Long.MAX_VALUE;

    /** Changes that a watch reported together, up to {@code revision}. */
    private record Batch(long revision, ImmutableList<StoreResult.Change> changes) {}

    /** Discards all changes, after the whole state was read at {@code revision}. */
    void resetTo(long revision) {
        mBatches.clear();
        mOldestRevision = revision;
    }

    /** Appends the changes between the last added revision and {@code revision}. */
    void add(List<StoreResult.Change> changes, long revision) {
        if (changes.isEmpty()) {
            return;
        }
        mBatches.add(new Batch(revision, ImmutableList.copyOf(changes)));
        while (mBatches.size() > MAX_BATCHES) {
            mOldestRevision = mBatches.remove().revision();
        }
    }

    /** Returns the changes after a revision, or empty if some of them are no longer kept. */
    Optional<ImmutableList<StoreResult.Change>> since(long revision) {
        if (revision < mOldestRevision) {
            return Optional.empty();
        }
        return Optional.of(
                mBatches.stream()
                        .filter(batch -> batch.revision() > revision)
                        .flatMap(batch -> batch.changes().stream())
                        .collect(ImmutableList.toImmutableList()));
    }
}

package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the latest changes of one kind by the revision up to which they lead. Not thread-safe.
 *
 * <p>Invariant: whoever has the state at any revision from the beginning on gets the present state
 * by applying the changes since then in order.
 */
final class ChangeHistory {
    /** A follower asks again within a second; this many changes last for several. */
    private static final int MAX_BATCHES = 64;

    private final Deque<Batch> mBatches = new ArrayDeque<>();
    private long mBegin = Long.MAX_VALUE;

    private record Batch(long revision, ImmutableList<StoreResult.Change> changes) {}

    /** Forgets everything; the state at {@code revision} was read as a whole. */
    void beginAt(long revision) {
        mBatches.clear();
        mBegin = revision;
    }

    /** Adds changes that lead to a revision. */
    void add(List<StoreResult.Change> changes, long revision) {
        if (changes.isEmpty()) {
            return;
        }
        mBatches.add(new Batch(revision, ImmutableList.copyOf(changes)));
        while (mBatches.size() > MAX_BATCHES) {
            mBegin = mBatches.remove().revision();
        }
    }

    /** Returns the changes after a revision, or empty when it lies before the beginning. */
    Optional<ImmutableList<StoreResult.Change>> since(long revision) {
        if (revision < mBegin) {
            return Optional.empty();
        }
        return Optional.of(
                mBatches.stream()
                        .filter(b -> b.revision() > revision)
                        .flatMap(b -> b.changes().stream())
                        .collect(ImmutableList.toImmutableList()));
    }
}

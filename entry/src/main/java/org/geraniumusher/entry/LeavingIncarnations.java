package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.operator.Leaving;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Remembers which incarnations of servers are leaving, and from what this daemon knew it first.
 * Confined to the event loop.
 *
 * <p>Invariant: an incarnation that is listed is not forgotten. Of the others at least the latest
 * {@link #MAX_UNLISTED} are kept; older ones are forgotten when as many again have been added.
 */
final class LeavingIncarnations {
    /** More than a restore of the store can bring back. */
    static final int MAX_UNLISTED = 4_096;

    private final Predicate<String> mIsListed;
    private final Map<String, Leaving> mCauses = new LinkedHashMap<>();

    /** Size at which unlisted incarnations are looked for next. */
    private int mNextTrimSize = 2 * MAX_UNLISTED;

    /**
     * Creates an empty memory.
     *
     * @param isListed reports whether an incarnation is listed, by its ID
     */
    LeavingIncarnations(Predicate<String> isListed) {
        mIsListed = checkNotNull(isListed);
    }

    /** Adds an incarnation, and returns whether it was not known to be leaving. */
    boolean add(String incarnationId, Leaving cause) {
        boolean added = mCauses.putIfAbsent(incarnationId, cause) == null;
        if (added && mCauses.size() > mNextTrimSize) {
            trim();
        }
        return added;
    }

    private void trim() {
        long unlisted = mCauses.keySet().stream().filter(mIsListed.negate()).count();
        Iterator<String> oldestFirst = mCauses.keySet().iterator();
        while (unlisted > MAX_UNLISTED) {
            if (!mIsListed.test(oldestFirst.next())) {
                oldestFirst.remove();
                unlisted--;
            }
        }
        mNextTrimSize = mCauses.size() + MAX_UNLISTED;
    }

    boolean contains(String incarnationId) {
        return mCauses.containsKey(incarnationId);
    }

    /** Returns from what this daemon knew first that an incarnation is leaving, if it is. */
    Optional<Leaving> cause(String incarnationId) {
        return Optional.ofNullable(mCauses.get(incarnationId));
    }

    /** Returns the incarnations that said in an answer that they are leaving, the oldest first. */
    Stream<String> byOwnWord() {
        return mCauses.entrySet().stream()
                .filter(e -> e.getValue().isOwnWord())
                .map(Map.Entry::getKey);
    }
}

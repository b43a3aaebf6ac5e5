package org.geraniumusher.entry;

import com.google.common.collect.ImmutableList;

/**
 * The result of a call to the {@link Store}. Immutable and thread-safe.
 *
 * <p>The simple names of the records are part of the names of metrics.
 */
public sealed interface StoreResult {
    /**
     * One page of a list.
     *
     * @param more whether further pages follow
     * @param revision revision of the store that the page shows
     */
    record Page(ImmutableList<StoreObject> objects, boolean more, long revision)
            implements StoreResult {}

    /**
     * The changes after the revision that a watch started from.
     *
     * @param changes changes in the order in which they were made; empty if the wait ended first
     * @param revision revision up to which {@code changes} is complete
     */
    record Changes(ImmutableList<Change> changes, long revision) implements StoreResult {}

    /**
     * A change of one object.
     *
     * @param object the object after the change, or the removed object
     */
    record Change(StoreObject object, boolean removed) {}

    /** The store no longer has the changes after the revision that a watch started from. */
    record HistoryGone() implements StoreResult {}

    /** The current object, after a write or a read that succeeded. */
    record Written(StoreObject object) implements StoreResult {}

    /** The object was removed. */
    record Removed() implements StoreResult {}

    /**
     * A write was rejected because the object exists already or has another revision.
     *
     * @param object the current object
     */
    record Conflict(StoreObject object) implements StoreResult {}

    /** The object does not exist. */
    record NotFound() implements StoreResult {}

    /**
     * The store rejected the call without executing it.
     *
     * @param status HTTP status of the response
     */
    record Refused(int status) implements StoreResult {}

    /**
     * No usable response arrived. The store may have executed a write, or may execute it later.
     *
     * @param cause description of the error
     * @param timedOut whether the time of the call passed without a response or an error
     */
    record NoAnswer(String cause, boolean timedOut) implements StoreResult {
        /** Creates the result of a call that ended with an error. */
        public NoAnswer(String cause) {
            this(cause, false);
        }
    }
}

package org.geraniumusher.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Describes a request that has failed at least once. Immutable and thread-safe.
 *
 * @param idempotent whether it may run more than once
 * @param sent how often it has been sent, at least once
 * @param mayHaveRun whether an earlier attempt may have run
 * @param deadlineNanos time by which the response is of use
 */
public record Attempt(boolean idempotent, int sent, boolean mayHaveRun, long deadlineNanos) {
    /** Refuses a request that was never sent. */
    public Attempt {
        checkArgument(sent >= 1, "bad sent: %s", sent);
    }
}

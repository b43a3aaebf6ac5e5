package org.geraniumusher.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Route.Priority;

/**
 * Describes a request that asks for a slot of a backend server. Immutable and thread-safe.
 *
 * @param id identifies the request at this gate
 * @param priority class in the queue
 * @param deadlineNanos time by which the response is of use, on the clock passed to the gate
 */
public record GateRequest(long id, Priority priority, long deadlineNanos) {
    /** Refuses a missing priority. */
    public GateRequest {
        checkNotNull(priority, "request %s without a priority", id);
    }
}

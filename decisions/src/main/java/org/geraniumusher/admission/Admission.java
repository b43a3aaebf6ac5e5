package org.geraniumusher.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ResultCode;

/** Tells what happens to one request at the gate of a backend server. Immutable, thread-safe. */
public sealed interface Admission {
    /** Returns the request that is meant. */
    long id();

    /** Send the request to the server now; it holds a slot until its end is reported. */
    record Dispatch(long id) implements Admission {}

    /** The request waits; a later verdict follows. */
    record Queued(long id) implements Admission {}

    /** Tell the server to stop a running request; its slot is in use until its end is reported. */
    record Abort(long id) implements Admission {}

    /**
     * The request is refused and did not run.
     *
     * @param retryAfterMillis time after which the queue has probably drained
     */
    record Refused(long id, ResultCode code, long retryAfterMillis) implements Admission {
        /** Checks the values. */
        public Refused {
            checkNotNull(code, "refusal of %s without a code", id);
            checkArgument(retryAfterMillis >= 1, "bad retryAfterMillis: %s", retryAfterMillis);
        }
    }
}

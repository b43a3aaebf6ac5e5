package org.geraniumusher.retry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ResultCode;

/** Tells what follows a failed attempt. Immutable and thread-safe. */
public sealed interface RetryVerdict {
    /**
     * Send the request again after a delay; an unkeyed one to another server.
     *
     * @param delayNanos time to wait before that
     */
    record Resend(long delayNanos) implements RetryVerdict {
        /** Refuses a negative delay. */
        public Resend {
            checkArgument(delayNanos >= 0, "bad delayNanos: %s", delayNanos);
        }
    }

    /** Answer the caller with the code. */
    record GiveUp(ResultCode code) implements RetryVerdict {
        /** Refuses a missing code. */
        public GiveUp {
            checkNotNull(code, "code");
        }
    }
}

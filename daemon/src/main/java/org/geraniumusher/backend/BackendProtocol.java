package org.geraniumusher.backend;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.ownership.GrantAck;

import java.util.List;

/** Names the control calls that backend servers answer. Thread-safe. */
public final class BackendProtocol {
    /** Path of the status call. */
    public static final String STATUS_PATH = "/geraniumusher/status";

    /** Path of the grant call, whose reply is a status too. */
    public static final String GRANT_PATH = "/geraniumusher/grant";

    private BackendProtocol() {}

    /**
     * Is the reply to both calls. Immutable and thread-safe.
     *
     * @param incarnation run of the server
     * @param readingNanos the server's monotonic clock
     * @param running requests that run now
     * @param slots requests that the server executes at once when warm
     * @param acks last acknowledged grant of each service
     */
    public record Status(
            long incarnation, long readingNanos, int running, int slots, List<GrantAck> acks) {
        /** Copies the acknowledgements. */
        public Status {
            acks = ImmutableList.copyOf(acks);
        }
    }
}

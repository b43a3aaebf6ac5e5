package org.geraniumusher.ownership;

/** States what a backend server did with a grant. */
public sealed interface GrantReply {
    /** The grant is in force and nothing runs outside it. */
    record Acknowledged(GrantAck ack) implements GrantReply {}

    /** The grant is in force; the acknowledgement follows when requests outside it have ended. */
    record Deferred() implements GrantReply {}

    /** The grant had no effect. */
    record Refused(String reason) implements GrantReply {}
}

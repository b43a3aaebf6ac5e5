package org.geraniumusher.entry;

import java.util.Optional;

/** The result of a grant or release. Implementations are immutable. */
public sealed interface GrantResult {
    /** Returns whether the server said in its answer that it is leaving. */
    default boolean leaving() {
        return false;
    }

    /**
     * The server carried out the call.
     *
     * @param handover token for the next owner, which the answer to a release may contain
     * @param leaving whether the server said that it is leaving
     */
    record Done(Optional<String> handover, boolean leaving) implements GrantResult {}

    /**
     * The server rejected the call because it has seen a higher fence.
     *
     * @param leaving whether the server said that it is leaving
     */
    record Fenced(boolean leaving) implements GrantResult {}

    /**
     * A different server answered at the address. What it says of itself is not about the server
     * that was called.
     */
    record OtherServer() implements GrantResult {}

    /**
     * The connection was refused, so the call was not sent. Nothing listens at the address, or the
     * server has reached its connection limit, or is cut off.
     */
    record ConnectionRefused() implements GrantResult {}

    /** A listener reset the connection without an answer. The call may still be carried out. */
    record ConnectionReset() implements GrantResult {}

    /**
     * The server refused the call for another reason.
     *
     * @param status status code of the HTTP response
     * @param leaving whether the server said that it is leaving
     */
    record Refused(int status, boolean leaving) implements GrantResult {}

    /**
     * There was no answer. The call may still be carried out.
     *
     * @param cause description of the failure
     */
    record NoAnswer(String cause) implements GrantResult {}
}

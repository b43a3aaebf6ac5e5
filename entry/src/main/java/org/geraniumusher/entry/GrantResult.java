package org.geraniumusher.entry;

import java.util.Optional;

/** The result of a grant or release. Implementations are immutable. */
public sealed interface GrantResult {
    /** The server did it; a release may bring a handover token. */
    record Done(Optional<String> handover) implements GrantResult {}

    /** The server has seen a higher fence. */
    record Fenced() implements GrantResult {}

    /** Another server has the address. */
    record OtherServer() implements GrantResult {}

    /** Nothing listens at the address, or the listener has too many connections. */
    record ConnectionRefused() implements GrantResult {}

    /** A listener closed the connection without an answer; the call may be carried out late. */
    record ConnectionReset() implements GrantResult {}

    /** The server refused the call for another reason. */
    record Refused(int status) implements GrantResult {}

    /** There was no answer; the call may be carried out late. */
    record NoAnswer(String cause) implements GrantResult {}
}

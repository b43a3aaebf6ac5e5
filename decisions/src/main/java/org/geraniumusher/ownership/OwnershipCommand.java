package org.geraniumusher.ownership;

import org.geraniumusher.model.ShardState;

/** Is an order of a {@link ShardMember} to the daemon that runs it. */
public sealed interface OwnershipCommand {
    /**
     * Orders a conditional write of the shard's state. Exactly one of {@code onWriteWritten},
     * {@code onWriteConflict} and {@code onWriteUnknown} has to follow.
     *
     * @param expectedVersion version that the write replaces; 0 creates the object
     */
    record WriteState(String service, long expectedVersion, ShardState state)
            implements OwnershipCommand {}

    /**
     * Orders a read of the shard's state from the store. Exactly one of {@code onReadState}, {@code
     * onReadAbsent} and {@code onReadUnavailable} has to follow.
     */
    record ReadState(String service) implements OwnershipCommand {}

    /** Orders an authority request to be sent to its receiver. */
    record SendAuthorityRequest(AuthorityRequest request) implements OwnershipCommand {}

    /** Orders an answer to be sent to the sender of an authority request. */
    record SendAuthorityAck(AuthorityAck ack) implements OwnershipCommand {}

    /** Orders a server to be asked for its incarnation and clock reading. */
    record PollServer(String service, String server) implements OwnershipCommand {}

    /** Orders a grant to be sent to a server. */
    record SendGrant(String server, Grant grant) implements OwnershipCommand {}

    /** Orders a decision to be logged. */
    record LogDecision(String text) implements OwnershipCommand {}
}

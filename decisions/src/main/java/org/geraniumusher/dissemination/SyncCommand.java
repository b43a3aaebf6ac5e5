package org.geraniumusher.dissemination;

import org.geraniumusher.membership.Member;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ShardState;

/** Is something that the disseminator asks its caller to do. Implementations are immutable. */
public sealed interface SyncCommand {
    /** Sends a message. Loss is repaired by the versions on probes. */
    record Send(Member to, SyncMessage message) implements SyncCommand {}

    /** Puts a configuration in force; its version may be the same when a gap was closed. */
    record ConfigurationChanged(Configuration configuration) implements SyncCommand {}

    /** Puts a table in force. */
    record ShardChanged(long version, ShardState state) implements SyncCommand {}

    /** Reports an object that was refused while its last good version stays in force. */
    record Refused(Change change) implements SyncCommand {}
}

package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;

/**
 * Is a message between the failure detectors of two daemons. Implementations are immutable.
 *
 * <p>The first three fit into a datagram; {@link MembersReply} grows with the number of members.
 */
public sealed interface MembershipMessage {
    /** Returns the sender with its own refutation; tells the receiver about the sender. */
    MemberUpdate sender();

    /** Returns what the sender passes on about others. */
    ImmutableList<MemberUpdate> updates();

    /**
     * Asks whether {@code target} runs at the receiver's address.
     *
     * @param target name of the daemon probed; another daemon at the address does not answer
     */
    record Probe(
            MemberUpdate sender, long sequence, String target, ImmutableList<MemberUpdate> updates)
            implements MembershipMessage {
        /** Refuses nulls. */
        public Probe {
            checkNotNull(sender, "sender");
            checkNotNull(target, "target");
            checkNotNull(updates, "updates");
        }
    }

    /**
     * Answers a probe, or passes on the answer to a probe made for the receiver.
     *
     * @param sequence number of the probe or of the probe request
     * @param liveCount number of members that the sender holds alive or suspects; a receiver that
     *     knows far fewer pulls the list
     */
    record ProbeAck(
            MemberUpdate sender, long sequence, int liveCount, ImmutableList<MemberUpdate> updates)
            implements MembershipMessage {
        /** Refuses nulls. */
        public ProbeAck {
            checkNotNull(sender, "sender");
            checkNotNull(updates, "updates");
        }
    }

    /** Asks the receiver to probe {@code target} for the sender. */
    record ProbeRequest(
            MemberUpdate sender, long sequence, Seed target, ImmutableList<MemberUpdate> updates)
            implements MembershipMessage {
        /** Refuses nulls. */
        public ProbeRequest {
            checkNotNull(sender, "sender");
            checkNotNull(target, "target");
            checkNotNull(updates, "updates");
        }
    }

    /** Asks for all members; sent by a daemon that joins, was declared dead or knows too few. */
    record MembersRequest(MemberUpdate sender) implements MembershipMessage {
        /** Refuses nulls. */
        public MembersRequest {
            checkNotNull(sender, "sender");
        }

        @Override
        public ImmutableList<MemberUpdate> updates() {
            return ImmutableList.of();
        }
    }

    /** Lists all members that the sender holds alive or suspects. */
    record MembersReply(MemberUpdate sender, ImmutableList<MemberUpdate> updates)
            implements MembershipMessage {
        /** Refuses nulls. */
        public MembersReply {
            checkNotNull(sender, "sender");
            checkNotNull(updates, "updates");
        }
    }
}

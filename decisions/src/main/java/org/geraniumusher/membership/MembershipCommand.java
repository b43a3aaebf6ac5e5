package org.geraniumusher.membership;

import org.geraniumusher.model.Address;

/** Is something that the failure detector asks its caller to do. Implementations are immutable. */
public sealed interface MembershipCommand {
    /** Sends a message. Loss is expected. */
    record Send(Address to, MembershipMessage message) implements MembershipCommand {}

    /** Reports that the belief about a member has changed. */
    record Changed(Member member, MemberState state, Reason reason) implements MembershipCommand {}

    /** Says why the belief about a member has changed. */
    enum Reason {
        /** The member was not known before. */
        JOINED,
        /** The name answers with a newer incarnation, so the older one has ended. */
        RESTARTED,
        /** The member refuted a suspicion or its death. */
        REFUTED,
        /** Neither the member nor those who probed it for this daemon answered. */
        SILENT,
        /** The member did not refute a suspicion in time. */
        SUSPICION_EXPIRED,
        /** Another daemon reported the state. */
        REPORTED,
        /** The member said that it leaves. */
        LEAVING,
        /** The platform reported the instance gone. */
        INSTANCE_GONE,
        /** This daemon was paused and dropped its own suspicion. */
        OWN_PAUSE
    }
}

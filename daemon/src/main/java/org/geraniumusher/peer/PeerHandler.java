package org.geraniumusher.peer;

import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MembershipMessage;

/**
 * Takes the messages of other daemons. Methods run on an event loop, several at a time, and must
 * not block: hand the message to a duty.
 */
public interface PeerHandler {
    /** Takes a message for the failure detector. */
    void onMembership(MembershipMessage message);

    /** Takes the versions that came with a message; called before the message itself. */
    void onVersions(Member from, Versions versions);

    /** Takes a message for the disseminator. */
    void onSync(Member from, SyncMessage message);

    /** Takes a message about authority or a table. */
    void onAuthority(Member from, AuthorityMessage message);

    /** Takes the counts of a daemon, which may have come through another. */
    void onBurnSummary(BurnSummary summary);
}

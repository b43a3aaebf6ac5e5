package org.geraniumusher.peer;

import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipMessage;

/**
 * Converts messages between daemons to the bytes that {@link PeerTransport} sends, without a
 * socket. Measurements of message sizes use it. Stateless and thread-safe.
 */
public final class WireFormat {
    private WireFormat() {}

    /** Encodes a message of the failure detector together with the sender's versions. */
    public static byte[] encode(MembershipMessage message, Versions versions) {
        return MemberCodec.encode(message)
                .setVersions(SyncCodec.encode(versions))
                .build()
                .toByteArray();
    }

    /** Encodes a message of dissemination. */
    public static byte[] encode(Member sender, SyncMessage message) {
        return SyncCodec.encode(message)
                .setSender(MemberCodec.encode(MemberUpdate.of(sender)))
                .build()
                .toByteArray();
    }
}

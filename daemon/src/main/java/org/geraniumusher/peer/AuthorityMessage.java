package org.geraniumusher.peer;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Is a message about the authority to renew grants, or about the currency of a table. Always fits
 * into a datagram. Implementations are immutable.
 */
public sealed interface AuthorityMessage {
    /** Longest name of a service in these messages, in characters. */
    int MAX_SERVICE_LENGTH = 256;

    /** Returns the service whose shard the message is about. */
    String service();

    /** Returns the version of the shard state that the message is about. */
    long version();

    /**
     * Asks the receiver to acknowledge a version of a shard, which also fences older ones.
     *
     * @param requestId chosen by the sender to match the answer
     * @param sender name of the asking daemon
     * @param incarnation incarnation of the asking daemon
     * @param receiverIncarnation incarnation of the daemon that is asked; another one refuses
     */
    record AuthorityRequest(
            String service,
            long version,
            long requestId,
            String sender,
            long incarnation,
            long receiverIncarnation)
            implements AuthorityMessage {
        /** Refuses bad names and versions. */
        public AuthorityRequest {
            check(service, version);
            checkNotNull(sender, "sender");
        }
    }

    /**
     * Answers an authority request.
     *
     * @param sender name of the answering daemon
     * @param incarnation incarnation of the answering daemon
     * @param granted whether the version is acknowledged
     * @param knownVersion highest version of the shard that the answering daemon knows
     * @param receiverIncarnation incarnation of the daemon that asked
     */
    record AuthorityAck(
            String service,
            long version,
            long requestId,
            String sender,
            long incarnation,
            boolean granted,
            long knownVersion,
            long receiverIncarnation)
            implements AuthorityMessage {
        /** Refuses bad names and versions. */
        public AuthorityAck {
            check(service, version);
            checkNotNull(sender, "sender");
            checkArgument(knownVersion >= 0, "bad known version: %s", knownVersion);
        }
    }

    /**
     * Asks whether a table version is current, or confirms it, for routers of unfenced servers.
     *
     * @param request whether this is the question
     * @param confirmed in an answer, whether the version is current
     */
    record TableConfirm(
            String service, long version, long requestId, boolean request, boolean confirmed)
            implements AuthorityMessage {
        /** Refuses bad names and versions. */
        public TableConfirm {
            check(service, version);
        }
    }

    private static void check(String service, long version) {
        checkArgument(!service.isBlank(), "message without a service");
        checkArgument(
                service.length() <= MAX_SERVICE_LENGTH, "name of service too long: %s", service);
        checkArgument(version >= 0, "bad version: %s", version);
    }
}

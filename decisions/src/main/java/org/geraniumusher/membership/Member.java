package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.base.Utf8;

import org.geraniumusher.model.Address;

/**
 * Identifies one run of a daemon. Immutable and thread-safe.
 *
 * @param name name of the daemon, which it keeps over restarts
 * @param incarnation start time in ms; a restarted daemon is another member
 * @param dataCentre data centre that the daemon runs in
 * @param peerAddress UDP and TCP address for messages between daemons
 * @param forwardAddress HTTP address for forwarded requests
 * @param operatorAddress HTTP address for operators
 */
public record Member(
        String name,
        long incarnation,
        String dataCentre,
        Address peerAddress,
        Address forwardAddress,
        Address operatorAddress) {
    /** Longest name of a daemon or a data centre, in bytes; bounds the size of a datagram. */
    public static final int MAX_NAME_BYTES = 64;

    /** Longest IP number in text form, in bytes. */
    private static final int MAX_HOST_BYTES = 45;

    /** Tags, lengths, ports and numbers of an encoded update of a member, in bytes. */
    private static final int FIXED_WIRE_BYTES = 56;

    /** Refuses empty and long names. */
    public Member {
        checkName(name, "daemon");
        checkName(dataCentre, "data centre");
        checkArgument(incarnation > 0, "bad incarnation of %s: %s", name, incarnation);
        checkHost(peerAddress);
        checkHost(forwardAddress);
        checkHost(operatorAddress);
    }

    /** Returns an upper bound of the encoded size; a host is encoded once. */
    int maxWireBytes() {
        String host = peerAddress.host();
        int bytes = FIXED_WIRE_BYTES + Utf8.encodedLength(name) + Utf8.encodedLength(dataCentre);
        bytes += host.length();
        bytes += forwardAddress.host().equals(host) ? 0 : forwardAddress.host().length();
        return bytes + (operatorAddress.host().equals(host) ? 0 : operatorAddress.host().length());
    }

    private static void checkName(String name, String what) {
        checkArgument(!name.isBlank(), "%s without a name", what);
        checkArgument(
                Utf8.encodedLength(name) <= MAX_NAME_BYTES, "name of %s too long: %s", what, name);
    }

    private static void checkHost(Address address) {
        checkNotNull(address, "address");
        checkArgument(address.host().length() <= MAX_HOST_BYTES, "host too long: %s", address);
    }
}

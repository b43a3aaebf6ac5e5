package org.geraniumusher.daemon;

import org.geraniumusher.membership.Member;
import org.geraniumusher.ownership.AuthorityAck;
import org.geraniumusher.ownership.AuthorityRequest;
import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.peer.AuthorityMessage;

import java.util.Optional;

/**
 * Converts between the authority messages of the decisions and those on the wire.
 *
 * <p>The wire carries no state of a shard: a receiver that lacks a version gets it from
 * dissemination. The time of sending serves as the identifier of a request. Thread-safe.
 */
final class AuthorityMessages {
    private AuthorityMessages() {}

    static AuthorityMessage toWire(AuthorityRequest request) {
        return new AuthorityMessage.AuthorityRequest(
                request.service(),
                request.version(),
                request.sentNanos(),
                request.from().name(),
                request.from().incarnation(),
                request.to().incarnation());
    }

    static AuthorityMessage toWire(AuthorityAck ack) {
        return new AuthorityMessage.AuthorityAck(
                ack.service(),
                ack.version(),
                ack.sentNanos(),
                ack.from().name(),
                ack.from().incarnation(),
                ack.acknowledged(),
                ack.knownVersion(),
                ack.to().incarnation());
    }

    static AuthorityRequest fromWire(
            Member from, String receiver, AuthorityMessage.AuthorityRequest request) {
        return new AuthorityRequest(
                request.service(),
                idOf(from),
                new MemberId(receiver, request.receiverIncarnation()),
                request.version(),
                request.requestId(),
                Optional.empty());
    }

    static AuthorityAck fromWire(Member from, String receiver, AuthorityMessage.AuthorityAck ack) {
        return new AuthorityAck(
                ack.service(),
                idOf(from),
                new MemberId(receiver, ack.receiverIncarnation()),
                ack.version(),
                ack.requestId(),
                ack.granted(),
                ack.knownVersion(),
                Optional.empty());
    }

    private static MemberId idOf(Member member) {
        return new MemberId(member.name(), member.incarnation());
    }
}

package org.geraniumusher.peer;

import com.google.protobuf.ByteString;

import org.geraniumusher.burn.BurnSummary;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.membership.Member;
import org.geraniumusher.peer.AuthorityMessage.AuthorityAck;
import org.geraniumusher.peer.AuthorityMessage.AuthorityRequest;
import org.geraniumusher.peer.AuthorityMessage.TableConfirm;
import org.geraniumusher.peer.wire.PeerProto;
import org.geraniumusher.peer.wire.PeerProto.Envelope;

/**
 * Converts envelopes into calls of a handler. Decoding throws {@link IllegalArgumentException} when
 * a message is malformed, before the handler is called. Thread-safe.
 */
final class PeerCodec {
    private PeerCodec() {}

    static Envelope.Builder encode(AuthorityMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof AuthorityRequest request) {
            envelope.getAuthorityRequestBuilder()
                    .setService(request.service())
                    .setVersion(request.version())
                    .setRequestId(request.requestId())
                    .setReceiverIncarnation(request.receiverIncarnation());
        } else if (message instanceof AuthorityAck ack) {
            envelope.getAuthorityAckBuilder()
                    .setService(ack.service())
                    .setVersion(ack.version())
                    .setRequestId(ack.requestId())
                    .setGranted(ack.granted())
                    .setKnownVersion(ack.knownVersion())
                    .setReceiverIncarnation(ack.receiverIncarnation());
        } else {
            TableConfirm confirm = (TableConfirm) message;
            envelope.getTableConfirmBuilder()
                    .setService(confirm.service())
                    .setVersion(confirm.version())
                    .setRequestId(confirm.requestId())
                    .setRequest(confirm.request())
                    .setConfirmed(confirm.confirmed());
        }
        return envelope;
    }

    static Envelope.Builder encode(BurnSummary summary) {
        Envelope.Builder envelope = Envelope.newBuilder();
        envelope.getBurnSummaryBuilder().setEncoded(ByteString.copyFrom(summary.toBytes()));
        return envelope;
    }

    /** Returns the call of a handler that delivers an envelope. */
    static Delivery decode(Envelope envelope) {
        Member from = MemberCodec.decode(envelope.getSender()).member();
        Delivery body = decodeBody(envelope, from);
        if (!envelope.hasVersions()) {
            return body;
        }
        var versions = SyncCodec.decode(envelope.getVersions());
        return handler -> {
            handler.onVersions(from, versions);
            body.deliver(handler);
        };
    }

    /** Delivers a decoded message. */
    interface Delivery {
        void deliver(PeerHandler handler);
    }

    private static Delivery decodeBody(Envelope envelope, Member from) {
        switch (envelope.getBodyCase()) {
            case PROBE:
            case PROBE_ACK:
            case PROBE_REQUEST:
            case MEMBERS_REQUEST:
            case MEMBERS_REPLY:
                var membership = MemberCodec.decode(envelope);
                return handler -> handler.onMembership(membership);
            case AUTHORITY_REQUEST:
            case AUTHORITY_ACK:
            case TABLE_CONFIRM:
                AuthorityMessage authority = decodeAuthority(envelope, from);
                return handler -> handler.onAuthority(from, authority);
            case BURN_SUMMARY:
                byte[] encoded = envelope.getBurnSummary().getEncoded().toByteArray();
                BurnSummary summary = BurnSummary.fromBytes(encoded);
                return handler -> handler.onBurnSummary(summary);
            default:
                SyncMessage sync = SyncCodec.decode(envelope);
                return handler -> handler.onSync(from, sync);
        }
    }

    private static AuthorityMessage decodeAuthority(Envelope envelope, Member from) {
        switch (envelope.getBodyCase()) {
            case AUTHORITY_REQUEST:
                PeerProto.AuthorityRequest request = envelope.getAuthorityRequest();
                return new AuthorityRequest(
                        request.getService(),
                        request.getVersion(),
                        request.getRequestId(),
                        from.name(),
                        from.incarnation(),
                        request.getReceiverIncarnation());
            case AUTHORITY_ACK:
                PeerProto.AuthorityAck ack = envelope.getAuthorityAck();
                return new AuthorityAck(
                        ack.getService(),
                        ack.getVersion(),
                        ack.getRequestId(),
                        from.name(),
                        from.incarnation(),
                        ack.getGranted(),
                        ack.getKnownVersion(),
                        ack.getReceiverIncarnation());
            default:
                PeerProto.TableConfirm confirm = envelope.getTableConfirm();
                return new TableConfirm(
                        confirm.getService(),
                        confirm.getVersion(),
                        confirm.getRequestId(),
                        confirm.getRequest(),
                        confirm.getConfirmed());
        }
    }
}

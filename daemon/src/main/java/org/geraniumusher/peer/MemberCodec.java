package org.geraniumusher.peer;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberState;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.membership.MembershipMessage.MembersReply;
import org.geraniumusher.membership.MembershipMessage.MembersRequest;
import org.geraniumusher.membership.MembershipMessage.Probe;
import org.geraniumusher.membership.MembershipMessage.ProbeAck;
import org.geraniumusher.membership.MembershipMessage.ProbeRequest;
import org.geraniumusher.membership.Seed;
import org.geraniumusher.model.Address;
import org.geraniumusher.peer.wire.PeerProto;
import org.geraniumusher.peer.wire.PeerProto.Envelope;

import java.util.List;

/** Converts members and the messages of the failure detector. Thread-safe. */
final class MemberCodec {
    private MemberCodec() {}

    static Envelope.Builder encode(MembershipMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder().setSender(encode(message.sender()));
        if (message instanceof Probe probe) {
            envelope.getProbeBuilder()
                    .setSequence(probe.sequence())
                    .setTarget(probe.target())
                    .addAllUpdates(encode(probe.updates()));
        } else if (message instanceof ProbeAck ack) {
            envelope.getProbeAckBuilder()
                    .setSequence(ack.sequence())
                    .setLiveCount(ack.liveCount())
                    .addAllUpdates(encode(ack.updates()));
        } else if (message instanceof ProbeRequest request) {
            envelope.getProbeRequestBuilder()
                    .setSequence(request.sequence())
                    .setTarget(request.target().name())
                    .setTargetAddress(encode(request.target().peerAddress()))
                    .addAllUpdates(encode(request.updates()));
        } else if (message instanceof MembersRequest) {
            envelope.setMembersRequest(PeerProto.MembersRequest.getDefaultInstance());
        } else {
            envelope.getMembersReplyBuilder().addAllUpdates(encode(message.updates()));
        }
        return envelope;
    }

    /** Returns the message in an envelope whose body is one of the failure detector. */
    static MembershipMessage decode(Envelope envelope) {
        MemberUpdate sender = decode(envelope.getSender());
        switch (envelope.getBodyCase()) {
            case PROBE:
                PeerProto.Probe probe = envelope.getProbe();
                return new Probe(
                        sender,
                        probe.getSequence(),
                        probe.getTarget(),
                        decode(probe.getUpdatesList()));
            case PROBE_ACK:
                PeerProto.ProbeAck ack = envelope.getProbeAck();
                return new ProbeAck(
                        sender,
                        ack.getSequence(),
                        ack.getLiveCount(),
                        decode(ack.getUpdatesList()));
            case PROBE_REQUEST:
                PeerProto.ProbeRequest request = envelope.getProbeRequest();
                return new ProbeRequest(
                        sender,
                        request.getSequence(),
                        new Seed(request.getTarget(), decode(request.getTargetAddress())),
                        decode(request.getUpdatesList()));
            case MEMBERS_REQUEST:
                return new MembersRequest(sender);
            case MEMBERS_REPLY:
                return new MembersReply(
                        sender, decode(envelope.getMembersReply().getUpdatesList()));
            default:
                throw new IllegalArgumentException("no membership message");
        }
    }

    static PeerProto.MemberUpdate encode(MemberUpdate update) {
        return PeerProto.MemberUpdate.newBuilder()
                .setMember(encode(update.member()))
                .setRefutation(update.refutation())
                .setState(PeerProto.MemberState.forNumber(update.state().ordinal()))
                .build();
    }

    static MemberUpdate decode(PeerProto.MemberUpdate update) {
        int state = update.getStateValue();
        checkArgument(state >= 0 && state < MemberState.values().length, "bad state: %s", state);
        return new MemberUpdate(
                decode(update.getMember()), update.getRefutation(), MemberState.values()[state]);
    }

    private static ImmutableList<PeerProto.MemberUpdate> encode(List<MemberUpdate> updates) {
        return updates.stream().map(MemberCodec::encode).collect(ImmutableList.toImmutableList());
    }

    private static ImmutableList<MemberUpdate> decode(List<PeerProto.MemberUpdate> updates) {
        return updates.stream().map(MemberCodec::decode).collect(ImmutableList.toImmutableList());
    }

    private static PeerProto.Member encode(Member member) {
        return PeerProto.Member.newBuilder()
                .setName(member.name())
                .setIncarnation(member.incarnation())
                .setDataCentre(member.dataCentre())
                .setPeer(encode(member.peerAddress()))
                .setForward(encodeNear(member.forwardAddress(), member.peerAddress()))
                .setOperator(encodeNear(member.operatorAddress(), member.peerAddress()))
                .build();
    }

    private static Member decode(PeerProto.Member member) {
        Address peer = decode(member.getPeer());
        return new Member(
                member.getName(),
                member.getIncarnation(),
                member.getDataCentre(),
                peer,
                decodeNear(member.getForward(), peer),
                decodeNear(member.getOperator(), peer));
    }

    private static PeerProto.Address encode(Address address) {
        return PeerProto.Address.newBuilder()
                .setHost(address.host())
                .setPort(address.port())
                .build();
    }

    private static Address decode(PeerProto.Address address) {
        return new Address(address.getHost(), address.getPort());
    }

    /** Leaves the host out when it is that of the peer address. */
    private static PeerProto.Address encodeNear(Address address, Address peer) {
        PeerProto.Address.Builder builder = PeerProto.Address.newBuilder().setPort(address.port());
        return address.host().equals(peer.host())
                ? builder.build()
                : builder.setHost(address.host()).build();
    }

    private static Address decodeNear(PeerProto.Address address, Address peer) {
        String host = address.getHost().isEmpty() ? peer.host() : address.getHost();
        return new Address(host, address.getPort());
    }
}

package org.geraniumusher.peer;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.protobuf.InvalidProtocolBufferException;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.ShardChange;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.membership.DetectorSettings;
import org.geraniumusher.membership.FailureDetector;
import org.geraniumusher.membership.Member;
import org.geraniumusher.membership.MemberState;
import org.geraniumusher.membership.MemberUpdate;
import org.geraniumusher.membership.MembershipCommand;
import org.geraniumusher.membership.MembershipMessage;
import org.geraniumusher.membership.Seed;
import org.geraniumusher.model.Address;
import org.geraniumusher.model.DataCentre;
import org.geraniumusher.model.Kind;
import org.geraniumusher.model.Labels;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.geraniumusher.peer.wire.PeerProto.Envelope;
import org.junit.jupiter.api.Test;

import java.util.ArrayList;
import java.util.List;

/**
 * Guards against fields lost on the way, input that breaks the decoder in another way than by
 * refusal, and datagrams that outgrow their bound.
 */
class PeerCodecTest {
    private static final Member MEMBER = member("d1", "127.0.0.1");
    private static final MemberUpdate UPDATE = new MemberUpdate(MEMBER, 3, MemberState.SUSPECT);

    @Test
    void decode_membershipMessages_equal() {
        ImmutableList<MemberUpdate> updates = ImmutableList.of(UPDATE);
        Seed seed = new Seed("d2", Address.of("127.0.0.1:7"));
        for (MembershipMessage message :
                List.of(
                        new MembershipMessage.Probe(UPDATE, 7, "d2", updates),
                        new MembershipMessage.ProbeAck(UPDATE, 8, 5, updates),
                        new MembershipMessage.ProbeRequest(UPDATE, 9, seed, updates),
                        new MembershipMessage.MembersRequest(UPDATE),
                        new MembershipMessage.MembersReply(UPDATE, updates))) {
            assertThat(MemberCodec.decode(MemberCodec.encode(message).build())).isEqualTo(message);
        }
    }

    @Test
    void decode_syncMessages_equal() {
        ShardState state = ShardState.create("catalogue", 4).takenOverBy("d1", List.of("d2"));
        List<Slice> moved = new ArrayList<>(state.slices());
        moved.set(3, moved.get(3).assignedTo("c1", 5).movingTo("c2"));
        ShardState next = state.takenOverBy("d2", List.of("d3")).withSlices(5, moved);
        ImmutableList<Change> changes =
                ImmutableList.of(
                        Change.put(3, new DataCentre("nadi-b", "viti", Labels.of("a", "b"))),
                        Change.delete(4, Kind.ROUTE, "r"),
                        Change.invalid(5, Kind.SERVICE, "s", "slices", "bad slices"));
        for (SyncMessage message :
                List.of(
                        new SyncMessage.Pull(4, ImmutableMap.of("catalogue", 3L)),
                        new SyncMessage.Delta(1, 4, 9, changes),
                        new SyncMessage.Snapshot(9, changes),
                        new SyncMessage.ShardChanges(
                                ImmutableList.of(
                                        new ShardChange.Whole(8, state),
                                        ShardChange.between(8, state, 9, next))),
                        new SyncMessage.VersionsRequest(),
                        new SyncMessage.VersionsReport())) {
            assertThat(SyncCodec.decode(SyncCodec.encode(message).build())).isEqualTo(message);
        }
    }

    @Test
    void put_badObject_namesFieldAndReason() {
        Change change =
                ChangeReader.put(4, Kind.SERVICE, "s", "{\"name\":\"s\",\"slices\":\"many\"}");
        Change.Invalid invalid = (Change.Invalid) change.content();
        assertThat(invalid.field()).isEqualTo("slices");
        assertThat(invalid.reason()).contains("many");
        Change other = ChangeReader.put(4, Kind.DATA_CENTRE, "s", "{\"name\":\"t\"}");
        assertThat(other.content()).isInstanceOf(Change.Invalid.class);
    }

    @Property(seed = "42")
    void decode_anyBytes_refusedOrDecoded(@ForAll byte[] bytes) {
        decodeQuietly(bytes);
    }

    @Property(seed = "42")
    void decode_flippedBytes_refusedOrDecoded(@ForAll int position, @ForAll byte flip) {
        MembershipMessage message =
                new MembershipMessage.Probe(UPDATE, 7, "d2", ImmutableList.of(UPDATE));
        byte[] bytes =
                MemberCodec.encode(message)
                        .setVersions(SyncCodec.encode(largestVersions()))
                        .build()
                        .toByteArray();
        bytes[Math.floorMod(position, bytes.length)] ^= flip;
        decodeQuietly(bytes);
    }

    @Test
    void encode_longestNames_fitsIntoDatagram() {
        FailureDetector detector = FailureDetector.create(longest(0), DetectorSettings.DEFAULT, 1);
        for (int i = 1; i < 40; i++) {
            MemberUpdate sender = new MemberUpdate(longest(i), 1 << 30, MemberState.ALIVE);
            detector.onMessage(0, new MembershipMessage.ProbeAck(sender, 1, 0, ImmutableList.of()));
        }
        int sent = 0;
        for (long now = 0; now < 20_000_000_000L; now += 50_000_000L) {
            for (MembershipCommand command : detector.onTick(now)) {
                if (command instanceof MembershipCommand.Send send) {
                    sent++;
                    Envelope envelope =
                            MemberCodec.encode(send.message())
                                    .setVersions(SyncCodec.encode(largestVersions()))
                                    .build();
                    assertThat(envelope.getSerializedSize())
                            .isAtMost(FailureDetector.MAX_DATAGRAM_BYTES);
                }
            }
        }
        assertThat(sent).isAtLeast(20);
    }

    private static void decodeQuietly(byte[] bytes) {
        try {
            PeerCodec.decode(Envelope.parseFrom(bytes));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            assertThat(e).hasMessageThat().isNotNull();
        }
    }

    /** Returns versions of the largest size that the disseminator gives out. */
    private static Versions largestVersions() {
        long large = Long.MAX_VALUE;
        return new Versions(
                large,
                ImmutableSet.of(large, large - 1, large - 2, large - 3),
                ImmutableMap.of(Strings.repeat("s", 226), large));
    }

    private static Member longest(int index) {
        String name = Strings.padEnd("d" + index + "-", Member.MAX_NAME_BYTES, 'x');
        return member(name, Strings.padEnd("fe80::" + index, 45, '0'));
    }

    private static Member member(String name, String host) {
        Address other = new Address(host.replace('0', '1'), 65_535);
        String dataCentre = Strings.padEnd("dc", name.length(), 'c');
        Address peer = new Address(host, 65_535);
        return new Member(name, 1L << 60, dataCentre, peer, other, other);
    }
}

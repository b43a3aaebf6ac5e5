package org.geraniumusher.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

import org.geraniumusher.dissemination.ShardChange;
import org.geraniumusher.dissemination.ShardChange.Slices;
import org.geraniumusher.dissemination.ShardChange.Whole;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;
import org.geraniumusher.peer.wire.PeerProto;

import java.util.List;

/** Converts changes of shard states. Thread-safe. */
final class ShardCodec {
    private ShardCodec() {}

    static PeerProto.ShardChange encode(ShardChange change) {
        return change instanceof Whole whole ? encodeWhole(whole) : encodeSlices((Slices) change);
    }

    static ShardChange decode(PeerProto.ShardChange change) {
        return change.getBase() == 0 ? decodeWhole(change) : decodeSlices(change);
    }

    private static PeerProto.ShardChange encodeWhole(Whole whole) {
        ShardState state = whole.state();
        PeerProto.ShardChange.Builder builder =
                PeerProto.ShardChange.newBuilder()
                        .setService(state.service())
                        .setVersion(whole.version())
                        .setTerm(state.term())
                        .setCoordinator(state.coordinator())
                        .addAllStandbys(state.standbys())
                        .setLastEpoch(state.lastEpoch());
        state.unfencedGroups().forEach(group -> builder.addUnfencedGroups(encodeGroup(group)));
        for (int i = 0; i < state.slices().size(); i++) {
            builder.addSlices(encodeSlice(i, state.slices().get(i)));
        }
        return builder.build();
    }

    private static PeerProto.ShardChange encodeSlices(Slices slices) {
        PeerProto.ShardChange.Builder builder =
                PeerProto.ShardChange.newBuilder()
                        .setService(slices.service())
                        .setVersion(slices.version())
                        .setBase(slices.base())
                        .setTerm(slices.term())
                        .setCoordinator(slices.coordinator())
                        .addAllStandbys(slices.standbys())
                        .setLastEpoch(slices.lastEpoch());
        slices.unfencedGroups().forEach(group -> builder.addUnfencedGroups(encodeGroup(group)));
        slices.slices().forEach((index, slice) -> builder.addSlices(encodeSlice(index, slice)));
        return builder.build();
    }

    private static Whole decodeWhole(PeerProto.ShardChange change) {
        ImmutableList<Slice> slices =
                change.getSlicesList().stream()
                        .map(ShardCodec::decodeSlice)
                        .collect(ImmutableList.toImmutableList());
        return new Whole(
                change.getVersion(),
                new ShardState(
                        change.getService(),
                        change.getTerm(),
                        change.getCoordinator(),
                        change.getStandbysList(),
                        decodeGroups(change),
                        change.getLastEpoch(),
                        slices));
    }

    private static Slices decodeSlices(PeerProto.ShardChange change) {
        ImmutableMap.Builder<Integer, Slice> slices = ImmutableMap.builder();
        change.getSlicesList().forEach(slice -> slices.put(slice.getIndex(), decodeSlice(slice)));
        return new Slices(
                change.getService(),
                change.getBase(),
                change.getVersion(),
                change.getTerm(),
                change.getCoordinator(),
                ImmutableList.copyOf(change.getStandbysList()),
                decodeGroups(change),
                change.getLastEpoch(),
                slices.buildOrThrow());
    }

    private static ImmutableList<List<String>> decodeGroups(PeerProto.ShardChange change) {
        return change.getUnfencedGroupsList().stream()
                .map(group -> ImmutableList.copyOf(group.getMembersList()))
                .collect(ImmutableList.toImmutableList());
    }

    private static PeerProto.Group encodeGroup(List<String> group) {
        return PeerProto.Group.newBuilder().addAllMembers(group).build();
    }

    private static PeerProto.Slice encodeSlice(int index, Slice slice) {
        return PeerProto.Slice.newBuilder()
                .setIndex(index)
                .setFirst(slice.first())
                .setLast(slice.last())
                .setOwner(slice.owner())
                .setEpoch(slice.epoch())
                .setPrevious(slice.previous())
                .setPending(slice.pending())
                .build();
    }

    private static Slice decodeSlice(PeerProto.Slice slice) {
        return new Slice(
                slice.getFirst(),
                slice.getLast(),
                slice.getOwner(),
                slice.getEpoch(),
                slice.getPrevious(),
                slice.getPending());
    }
}

package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.dissemination.ShardChange;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.membership.Member;
import org.geraniumusher.model.ShardState;
import org.geraniumusher.peer.WireFormat;
import org.geraniumusher.platform.Json;

import java.nio.charset.StandardCharsets;

/** Measures bytes, processor time and memory of one shard state by its number of slices. */
public final class ShardSlopes {
    private static final int[] SLICES = {64, 512, 4_096};
    private static final int SERVERS = 100;

    private ShardSlopes() {}

    /** Prints the table. */
    public static void main(String[] args) {
        System.out.println("### Shard state, 100 backend servers\n");
        System.out.println(
                "| slices | JSON bytes | bytes a slice | protobuf bytes | bytes a slice"
                        + " | JSON write µs | JSON read µs | protobuf encode µs"
                        + " | heap bytes a slice |");
        System.out.println("|---|---|---|---|---|---|---|---|---|");
        for (int slices : SLICES) {
            printRow(slices);
        }
        System.out.println();
    }

    private static void printRow(int slices) {
        ShardState state = Fleet.shard("service-0", slices, SERVERS);
        Member sender = Fleet.member(0);
        SyncMessage message =
                new SyncMessage.ShardChanges(ImmutableList.of(new ShardChange.Whole(7, state)));
        String json = Json.write(state);
        int jsonBytes = json.getBytes(StandardCharsets.UTF_8).length;
        int wireBytes = WireFormat.encode(sender, message).length;
        Summary heap =
                CpuMeter.retainedBytes(400_000 / slices, () -> Json.read(json, ShardState.class));
        System.out.printf(
                "| %d | %d | %.1f | %d | %.1f | %s | %s | %s | %.0f |%n",
                slices,
                jsonBytes,
                jsonBytes / (double) slices,
                wireBytes,
                wireBytes / (double) slices,
                CpuMeter.text(CpuMeter.micros(() -> Json.write(state))),
                CpuMeter.text(CpuMeter.micros(() -> Json.read(json, ShardState.class))),
                CpuMeter.text(CpuMeter.micros(() -> WireFormat.encode(sender, message))),
                heap.median() / slices);
    }
}

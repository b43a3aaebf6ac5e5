package org.geraniumusher.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.dissemination.Change;
import org.geraniumusher.dissemination.SyncMessage;
import org.geraniumusher.dissemination.SyncMessage.Delta;
import org.geraniumusher.dissemination.SyncMessage.Pull;
import org.geraniumusher.dissemination.SyncMessage.ShardChanges;
import org.geraniumusher.dissemination.SyncMessage.Snapshot;
import org.geraniumusher.dissemination.SyncMessage.VersionsReport;
import org.geraniumusher.dissemination.SyncMessage.VersionsRequest;
import org.geraniumusher.dissemination.Versions;
import org.geraniumusher.model.Kind;
import org.geraniumusher.peer.wire.PeerProto;
import org.geraniumusher.peer.wire.PeerProto.Envelope;
import org.geraniumusher.platform.Json;

import java.util.List;
import java.util.Optional;

/** Converts versions and the messages of the disseminator. Thread-safe. */
final class SyncCodec {
    private SyncCodec() {}

    static PeerProto.Versions encode(Versions versions) {
        return PeerProto.Versions.newBuilder()
                .setConfiguration(versions.configuration())
                .addAllEarly(versions.early())
                .putAllShards(versions.shards())
                .build();
    }

    static Versions decode(PeerProto.Versions versions) {
        return new Versions(
                versions.getConfiguration(),
                ImmutableSet.copyOf(versions.getEarlyList()),
                ImmutableMap.copyOf(versions.getShardsMap()));
    }

    static Envelope.Builder encode(SyncMessage message) {
        Envelope.Builder envelope = Envelope.newBuilder();
        if (message instanceof Pull pull) {
            envelope.getPullBuilder()
                    .setConfiguration(pull.configuration())
                    .putAllShards(pull.shards());
        } else if (message instanceof Delta delta) {
            envelope.getDeltaBuilder()
                    .setBase(delta.base())
                    .setVersion(delta.version())
                    .setLatest(delta.latest())
                    .addAllChanges(encodeChanges(delta.changes()));
        } else if (message instanceof Snapshot snapshot) {
            envelope.getSnapshotBuilder()
                    .setVersion(snapshot.version())
                    .addAllObjects(encodeChanges(snapshot.objects()));
        } else if (message instanceof ShardChanges shards) {
            shards.changes().stream()
                    .map(ShardCodec::encode)
                    .forEach(envelope.getShardChangesBuilder()::addChanges);
        } else if (message instanceof VersionsRequest) {
            envelope.setVersionsRequest(PeerProto.VersionsRequest.getDefaultInstance());
        } else {
            envelope.setVersionsReport(PeerProto.VersionsReport.getDefaultInstance());
        }
        return envelope;
    }

    /** Returns the message in an envelope whose body is one of the disseminator. */
    static SyncMessage decode(Envelope envelope) {
        switch (envelope.getBodyCase()) {
            case PULL:
                PeerProto.Pull pull = envelope.getPull();
                return new Pull(pull.getConfiguration(), ImmutableMap.copyOf(pull.getShardsMap()));
            case DELTA:
                PeerProto.Delta delta = envelope.getDelta();
                return new Delta(
                        delta.getBase(),
                        delta.getVersion(),
                        delta.getLatest(),
                        decodeChanges(delta.getChangesList()));
            case SNAPSHOT:
                PeerProto.Snapshot snapshot = envelope.getSnapshot();
                return new Snapshot(
                        snapshot.getVersion(), decodeChanges(snapshot.getObjectsList()));
            case SHARD_CHANGES:
                return new ShardChanges(
                        envelope.getShardChanges().getChangesList().stream()
                                .map(ShardCodec::decode)
                                .collect(ImmutableList.toImmutableList()));
            case VERSIONS_REQUEST:
                return new VersionsRequest();
            case VERSIONS_REPORT:
                return new VersionsReport();
            default:
                throw new IllegalArgumentException("no message of the disseminator");
        }
    }

    private static ImmutableList<PeerProto.Change> encodeChanges(List<Change> changes) {
        return changes.stream().map(SyncCodec::encode).collect(ImmutableList.toImmutableList());
    }

    private static PeerProto.Change encode(Change change) {
        PeerProto.Change.Builder builder =
                PeerProto.Change.newBuilder()
                        .setVersion(change.version())
                        .setKind(change.kind().path())
                        .setName(change.name());
        if (change.content() instanceof Change.Put put) {
            builder.setJson(Json.write(put.object()));
        } else if (change.content() instanceof Change.Invalid invalid) {
            builder.getInvalidBuilder().setField(invalid.field()).setReason(invalid.reason());
        } else {
            builder.setDeleted(true);
        }
        return builder.build();
    }

    /** Leaves out kinds that this version of the program does not know. */
    private static ImmutableList<Change> decodeChanges(List<PeerProto.Change> changes) {
        return changes.stream()
                .map(SyncCodec::decode)
                .flatMap(Optional::stream)
                .collect(ImmutableList.toImmutableList());
    }

    private static Optional<Change> decode(PeerProto.Change change) {
        return Kind.ofPath(change.getKind()).map(kind -> decode(change, kind));
    }

    private static Change decode(PeerProto.Change change, Kind kind) {
        switch (change.getContentCase()) {
            case JSON:
                return ChangeReader.put(
                        change.getVersion(), kind, change.getName(), change.getJson());
            case DELETED:
                return Change.delete(change.getVersion(), kind, change.getName());
            case INVALID:
                return Change.invalid(
                        change.getVersion(),
                        kind,
                        change.getName(),
                        change.getInvalid().getField(),
                        change.getInvalid().getReason());
            default:
                throw new IllegalArgumentException("change without content: " + change.getName());
        }
    }
}

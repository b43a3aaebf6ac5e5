package org.geraniumusher.dissemination;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;

/** Is a message that brings versions from one daemon to another. Implementations are immutable. */
public sealed interface SyncMessage {
    /**
     * Asks for what the sender lacks.
     *
     * @param configuration version that the sender has of the configuration
     * @param shards versions that the sender has of the shard states it asks for; 0 for none
     */
    record Pull(long configuration, ImmutableMap<String, Long> shards) implements SyncMessage {
        /** Refuses a negative version. */
        public Pull {
            checkArgument(configuration >= 0, "bad version: %s", configuration);
            checkNotNull(shards, "shards");
        }
    }

    /**
     * Carries all changes after {@code base} up to {@code version}, and perhaps later ones.
     *
     * @param latest version that the sender has, which may be later than {@code version}
     * @param changes changes sorted by version
     */
    record Delta(long base, long version, long latest, ImmutableList<Change> changes)
            implements SyncMessage {
        /** Refuses versions out of order. */
        public Delta {
            checkArgument(
                    0 <= base && base <= version && version <= latest,
                    "versions out of order: %s, %s, %s",
                    base,
                    version,
                    latest);
            checkNotNull(changes, "changes");
        }

        /** Returns a delta with all changes after {@code base} up to {@code version}. */
        static Delta of(long base, long version, ImmutableList<Change> changes) {
            return new Delta(base, version, version, changes);
        }
    }

    /**
     * Carries the whole configuration at a version. Objects that are not listed do not exist.
     *
     * @param objects last change of each object; may include changes after {@code version}
     */
    record Snapshot(long version, ImmutableList<Change> objects) implements SyncMessage {
        /** Refuses a negative version. */
        public Snapshot {
            checkArgument(version >= 0, "bad version: %s", version);
            checkNotNull(objects, "objects");
        }
    }

    /** Carries changes of shard states. */
    record ShardChanges(ImmutableList<ShardChange> changes) implements SyncMessage {
        /** Refuses nulls. */
        public ShardChanges {
            checkNotNull(changes, "changes");
        }
    }

    /** Asks for the versions of the receiver, which the answer carries as every probe does. */
    record VersionsRequest() implements SyncMessage {}

    /** Announces the versions of the sender, which the transport adds as to every probe. */
    record VersionsReport() implements SyncMessage {}
}

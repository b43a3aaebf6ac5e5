package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.model.Slice;
import org.geraniumusher.platform.StoredObject;

import java.util.List;

/**
 * Groups the JSON bodies of the operator port. Hashes are 16 hexadecimal digits, since JSON numbers
 * do not hold 64 unsigned bits everywhere. All are immutable and thread-safe.
 */
public final class Replies {
    private Replies() {}

    /** Says that the process is alive. */
    public record Health(String name) {}

    /** Says whether requests are taken, and why not. */
    public record Ready(boolean ready, String reason) {}

    /** Lists objects. */
    public record Objects(List<StoredObject> objects) {
        /** Copies the list. */
        public Objects {
            objects = ImmutableList.copyOf(objects);
        }
    }

    /** Says at which version a deletion took effect. */
    public record Deleted(String kind, String name, long version) {}

    /** Describes one slice. */
    public record SliceRow(
            String first, String last, String owner, long epoch, String previous, String pending) {
        static SliceRow from(Slice slice) {
            return new SliceRow(
                    toHex(slice.first()),
                    toHex(slice.last()),
                    slice.owner(),
                    slice.epoch(),
                    slice.previous(),
                    slice.pending());
        }
    }

    /** Says who owns a key, at which version of the shard. */
    public record Owner(String service, String key, String hash, long version, SliceRow slice) {}

    /** Lists the slices of a service and the group that renews their grants. */
    public record Assignments(
            String service,
            long version,
            long term,
            String coordinator,
            List<String> standbys,
            List<SliceRow> slices) {
        /** Copies the lists. */
        public Assignments {
            standbys = ImmutableList.copyOf(standbys);
            slices = ImmutableList.copyOf(slices);
        }
    }

    /** Lists the members that a daemon knows. */
    public record Daemons(String reporter, List<MemberStatus> daemons) {
        /** Copies the list. */
        public Daemons {
            daemons = ImmutableList.copyOf(daemons);
        }
    }

    /** Says which live daemons have a version of the configuration in force. */
    public record InForce(long version, boolean everywhere, List<String> have, List<String> lack) {
        /** Copies the lists. */
        public InForce {
            have = ImmutableList.copyOf(have);
            lack = ImmutableList.copyOf(lack);
        }
    }

    /** Says that the graceful stop of a daemon has started. */
    public record Draining(String name) {}

    static String toHex(long hash) {
        return String.format("%016x", hash);
    }
}

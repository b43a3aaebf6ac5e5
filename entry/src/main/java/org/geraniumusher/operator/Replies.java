package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import java.util.List;

/** Groups the JSON bodies of the operator port. All are immutable and thread-safe. */
public final class Replies {
    private Replies() {}

    /**
     * Describes one drain.
     *
     * @param version revision of the store in which it was written
     * @param servers servers that it matches now
     * @param ranges key ranges that these servers still own or may still hold
     */
    public record DrainRow(String name, String selector, long version, int servers, int ranges) {}

    /** Lists the drains that are in force at a daemon. */
    public record Drains(List<DrainRow> drains) {
        /** Copies the list. */
        public Drains {
            drains = ImmutableList.copyOf(drains);
        }
    }

    /** Says that a drain was written or removed at a revision of the store. */
    public record DrainChanged(String name, long version) {}

    /** Describes one key range. */
    public record RangeRow(
            String first, String last, String owner, long epoch, String previous, String pending) {}

    /** Says who owns a key, at which version of the table. */
    public record Owner(String service, String key, long version, RangeRow range) {}

    /** Lists the key ranges of a service and its coordinator. */
    public record Assignments(
            String service, long version, long term, String coordinator, List<RangeRow> ranges) {
        /** Copies the lists. */
        public Assignments {
            ranges = ImmutableList.copyOf(ranges);
        }
    }

    /** Lists the members that a daemon knows. */
    public record Daemons(String reporter, List<MemberStatus> daemons) {
        /** Copies the list. */
        public Daemons {
            daemons = ImmutableList.copyOf(daemons);
        }
    }
}

package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.quarantine.Quarantine;

import java.util.List;

/** The JSON bodies of replies on the operator port. All are immutable and thread-safe. */
public final class Replies {
    private Replies() {}

    /**
     * One drain and its progress.
     *
     * @param name name of the drain
     * @param selector selector of the servers to take out of service
     * @param version store revision at which the drain was written
     * @param servers number of servers that the selector matches now
     * @param ranges number of key ranges that these servers own, or may still hold as previous
     *     owners
     */
    public record DrainRow(String name, String selector, long version, int servers, int ranges) {}

    /** The drains that are in force at a daemon. */
    public record Drains(List<DrainRow> drains) {
        /** Makes an immutable copy of the list. */
        public Drains {
            drains = ImmutableList.copyOf(drains);
        }
    }

    /**
     * Confirms that a drain was written or removed.
     *
     * @param name name of the drain
     * @param version store revision at which the drain was written
     */
    public record DrainChanged(String name, long version) {}

    /**
     * One quarantined request.
     *
     * @param request fingerprint of the request
     * @param state whether daemons reject the request
     * @param service service of the request
     * @param target method, host and path of the request
     * @param crashes number of server incarnations that terminated under the request
     * @param incarnations IDs of these incarnations
     * @param since start of the state, as ISO 8601 in UTC
     * @param secondsLeft seconds until the state ends, 0 if its end is due
     * @param version store revision at which the quarantine was written
     */
    public record QuarantineRow(
            String request,
            Quarantine.State state,
            String service,
            String target,
            int crashes,
            List<String> incarnations,
            String since,
            long secondsLeft,
            long version) {
        /** Makes an immutable copy of the list. */
        public QuarantineRow {
            incarnations = ImmutableList.copyOf(incarnations);
        }
    }

    /** The quarantines that are in force at a daemon. */
    public record Quarantines(List<QuarantineRow> quarantines) {
        /** Makes an immutable copy of the list. */
        public Quarantines {
            quarantines = ImmutableList.copyOf(quarantines);
        }
    }

    /**
     * Confirms that the quarantine of a request was removed.
     *
     * @param request fingerprint of the request
     * @param version store revision at which the removed quarantine was written
     */
    public record QuarantineEnded(String request, long version) {}

    /**
     * One key range of a service and its owner. Servers are given by the id of their incarnation.
     *
     * @param first first key of the range
     * @param last last key of the range, inclusive
     * @param owner server that owns the range, or {@code -} while the range moves
     * @param epoch fencing number of the assignment
     * @param previous previous owners that may still hold the range, joined by commas, or {@code -}
     * @param pending server that the range moves to, or {@code -}
     */
    public record RangeRow(
            String first, String last, String owner, long epoch, String previous, String pending) {}

    /**
     * The owner of a key.
     *
     * @param version version of the key-range table that was read
     * @param range key range that contains the key
     */
    public record Owner(String service, String key, long version, RangeRow range) {}

    /**
     * The key ranges of a service and the daemon that assigns them.
     *
     * @param version version of the key-range table
     * @param term store revision of the coordinator record, or 0 if there is no coordinator
     * @param coordinator name of the daemon that assigns the key ranges, or empty if there is none
     */
    public record Assignments(
            String service, long version, long term, String coordinator, List<RangeRow> ranges) {
        /** Makes an immutable copy of the list. */
        public Assignments {
            ranges = ImmutableList.copyOf(ranges);
        }
    }

    /**
     * The daemons known to one daemon.
     *
     * @param reporter name of the daemon that replies
     * @param daemons states of all daemons known to the reporter, including itself
     */
    public record Daemons(String reporter, List<MemberStatus> daemons) {
        /** Makes an immutable copy of the list. */
        public Daemons {
            daemons = ImmutableList.copyOf(daemons);
        }
    }
}

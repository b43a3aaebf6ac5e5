package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.Labels;

/**
 * One incarnation of a backend server, that is, one run of its process, as the server reports it.
 * Immutable.
 *
 * @param id name under which the server registers; a server may start again under the same id
 * @param startMillis start time of this incarnation, in milliseconds since 1970
 * @param slots requests that the server can execute at the same time
 * @param leaving whether the server is shutting down and must get no new requests
 * @param release release of the server's software, empty if unknown
 * @param remainingColdNanos time for which the server was still to be cold when the entry was
 *     written
 */
public record ServerEntry(
        String id,
        long startMillis,
        String service,
        Address address,
        String dataCentre,
        int slots,
        String release,
        boolean leaving,
        long remainingColdNanos) {
    /** Rejects nulls and a number of slots that is not positive. */
    public ServerEntry {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(address);
        checkNotNull(dataCentre);
        checkNotNull(release);
        checkArgument(slots > 0, "slots is not positive: %s", slots);
    }

    /** Returns the labels that selectors match, without those whose value is not a valid label. */
    public Labels labels() {
        return Labels.copyOf(
                Maps.filterValues(
                        ImmutableMap.of(
                                "server", id,
                                "service", service,
                                "data-centre", dataCentre,
                                "release", release),
                        Labels::isValue));
    }

    /** Returns a copy that says that the server is leaving. */
    public ServerEntry asLeaving() {
        return new ServerEntry(
                id,
                startMillis,
                service,
                address,
                dataCentre,
                slots,
                release,
                true,
                remainingColdNanos);
    }

    /** Returns an identifier that is unique among the incarnations of all servers. */
    public String incarnationId() {
        return incarnationIdOf(id, startMillis);
    }

    /** Returns the identifier of the incarnation of server {@code id} with this start time. */
    public static String incarnationIdOf(String id, long startMillis) {
        return id + "@" + startMillis;
    }
}

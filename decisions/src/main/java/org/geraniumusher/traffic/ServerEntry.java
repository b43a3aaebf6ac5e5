package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.Labels;

/**
 * Describes one life of a backend server, as it reports it. Immutable.
 *
 * @param id name under which the server registers; a server may start again under the same id
 * @param bornMillis start of this life, Unix time
 * @param leaving whether the server is shutting down and must get no new requests
 * @param release release of the server's software, empty when it is not known
 * @param coldNanos how much longer the server was cold when the entry was written
 */
public record ServerEntry(
        String id,
        long bornMillis,
        String service,
        Address address,
        String dataCentre,
        int slots,
        String release,
        boolean leaving,
        long coldNanos) {
    /** Checks the fields. */
    public ServerEntry {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(address);
        checkNotNull(dataCentre);
        checkNotNull(release);
        checkArgument(slots > 0, "bad slots: %s", slots);
    }

    /** Returns the labels by which selectors find the server, without those that are malformed. */
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

    /** Returns a name that no other life of any server has. */
    public String life() {
        return lifeOf(id, bornMillis);
    }

    /** Returns the name of the life of server {@code id} that began at {@code bornMillis}. */
    public static String lifeOf(String id, long bornMillis) {
        return id + "@" + bornMillis;
    }
}

package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Address;

/**
 * Describes one life of a backend server, as it reports it. Immutable.
 *
 * @param id name under which the server registers; a server may start again under the same id
 * @param bornMillis start of this life, Unix time
 * @param leaving whether the server is shutting down and must get no new requests
 * @param coldNanos how much longer the server was cold when the entry was written
 */
public record ServerEntry(
        String id,
        long bornMillis,
        String service,
        Address address,
        String dataCentre,
        int slots,
        boolean leaving,
        long coldNanos) {
    /** Checks the fields. */
    public ServerEntry {
        checkNotNull(id);
        checkNotNull(service);
        checkNotNull(address);
        checkNotNull(dataCentre);
        checkArgument(slots > 0, "bad slots: %s", slots);
    }

    /** Returns a name that no other life of any server has. */
    public String life() {
        return lifeOf(id, bornMillis);
    }

    /** Returns the name of the life of server {@code id} that began at {@code bornMillis}. */
    public static String lifeOf(String id, long bornMillis) {
        return id + "@" + bornMillis;
    }

    /** Returns the id of the server that a name of a life belongs to. */
    public static String idOf(String life) {
        int at = life.lastIndexOf('@');
        return at < 0 ? life : life.substring(0, at);
    }
}

package org.geraniumusher.routing;

import org.geraniumusher.model.ShardState;
import org.geraniumusher.model.Slice;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Keeps the tables of keyed services and decides whether they may be used for backend servers that
 * do not check grants.
 *
 * <p>For such a server the gateway daemon is fenced in place of the server: it sends a request only
 * while a member with authority has confirmed this very version of the table, and only when the
 * table names the server and the epoch of the request and no previous owner that may still be used.
 * Not thread-safe.
 */
final class TableLeases {
    private final Map<String, Table> mTables = new HashMap<>();
    private final Map<String, Lease> mLeases = new HashMap<>();

    /** Replaces the table of a service, unless the version is not newer. */
    void onShard(long version, ShardState state) {
        Table before = mTables.get(state.service());
        if (before == null || version > before.version()) {
            mTables.put(state.service(), new Table(version, state));
        }
    }

    /** Takes the confirmation that a version was current, valid until a time. */
    void onLease(String service, long version, long untilNanos) {
        mLeases.put(service, new Lease(version, untilNanos));
    }

    /** Returns the slice that holds a hash, if the table is known. */
    Optional<Slice> sliceOf(String service, long hash) {
        return Optional.ofNullable(mTables.get(service)).map(t -> t.state().sliceOf(hash));
    }

    /** Reports whether a request may be sent to an unfenced server now. */
    boolean permits(long nowNanos, String service, long hash, String server, long epoch) {
        Table table = mTables.get(service);
        Lease lease = mLeases.get(service);
        if (table == null || lease == null) {
            return false;
        }
        Slice slice = table.state().sliceOf(hash);
        return lease.version() == table.version()
                && nowNanos - lease.untilNanos() < 0
                && slice.previous().isEmpty()
                && slice.owner().equals(server)
                && slice.epoch() == epoch;
    }

    private record Table(long version, ShardState state) {}

    private record Lease(long version, long untilNanos) {}
}

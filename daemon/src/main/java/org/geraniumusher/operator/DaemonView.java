package org.geraniumusher.operator;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.burn.BurnReport;
import org.geraniumusher.model.Configuration;
import org.geraniumusher.model.ShardState;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Gives the operator port the state of this daemon as immutable snapshots. Implementations are
 * thread-safe and never block.
 */
public interface DaemonView {
    /** Returns whether this daemon takes requests. */
    Readiness readiness();

    /** Returns the configuration in force at this daemon. */
    Configuration configuration();

    /** Returns the latest known state of the shard of a keyed service. */
    Optional<ShardSnapshot> shard(String service);

    /** Returns the members that this daemon knows, itself included, sorted by name. */
    ImmutableList<MemberStatus> members();

    /** Asks the live daemons for their versions until they have one or some seconds pass. */
    void awaitInForce(long version);

    /** Returns the burn rates over all daemons whose counts are known here. */
    BurnReport burn();

    /** Returns the burn rates over all daemons; asks a daemon that collects them where needed. */
    default CompletableFuture<BurnReport> burnOfAll() {
        return CompletableFuture.completedFuture(burn());
    }

    /** Says whether a daemon takes requests. */
    enum Readiness {
        /** No configuration has been received since the start. */
        NO_CONFIGURATION,
        /** Requests are taken. */
        READY,
        /** A graceful stop has started. */
        DRAINING
    }

    /**
     * Holds the state of a shard.
     *
     * @param version revision of the store that wrote the state
     */
    record ShardSnapshot(long version, ShardState state) {}
}

package org.geraniumusher.entry;

import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.traffic.ServerEntry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Instructs backend servers that own keys. The futures complete normally. Implementations are
 * thread-safe and never block.
 */
public interface ServerControl {
    /** Grants a range or renews the grant. */
    CompletableFuture<GrantResult> grant(
            ServerEntry server,
            KeyRange range,
            long fence,
            long holdNanos,
            Optional<String> handover);

    /** Takes a range back; answered when the work on its keys has ended. */
    CompletableFuture<GrantResult> release(ServerEntry server, KeyRange range, long fence);
}

package org.geraniumusher.entry;

import org.geraniumusher.keyrange.KeyRange;
import org.geraniumusher.traffic.ServerEntry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Sends grants and releases of key ranges to backend servers. The futures never complete
 * exceptionally: failures are {@link GrantResult}s. Implementations are thread-safe and never
 * block.
 */
public interface ServerControl {
    /**
     * Grants a range to a server, or renews the grant.
     *
     * @param fence revision of the table that assigned the range; a server that has seen a higher
     *     fence rejects the grant
     * @param holdNanos time for which the server may process requests for the range
     * @param handover token that the previous owner returned when it released the range
     */
    CompletableFuture<GrantResult> grant(
            ServerEntry server,
            KeyRange range,
            long fence,
            long holdNanos,
            Optional<String> handover);

    /**
     * Asks a server to release a range. It answers when its work on the keys has ended.
     *
     * @param fence fence of the assignment that gives the range to another owner
     */
    CompletableFuture<GrantResult> release(ServerEntry server, KeyRange range, long fence);
}

package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Selector;

/**
 * An operator's request that the backend servers matched by a selector get no new requests.
 * Immutable.
 *
 * @param name name of the drain, chosen by the operator
 */
public record Drain(String name, Selector selector) {
    /** Rejects an empty selector, which would match every server. */
    public Drain {
        checkNotNull(name);
        checkArgument(!selector.toString().isEmpty(), "drain %s has an empty selector", name);
    }

    /** Returns whether {@code server} must get no new requests. */
    public boolean matches(ServerEntry server) {
        return selector.matches(server.labels());
    }
}

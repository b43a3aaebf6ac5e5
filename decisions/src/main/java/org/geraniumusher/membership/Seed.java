package org.geraniumusher.membership;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.Address;

/**
 * Names a daemon of the platform's instance list, which lags: it may have ended, and others may be
 * missing. Immutable and thread-safe.
 */
public record Seed(String name, Address peerAddress) {
    /** Refuses an empty name. */
    public Seed {
        checkArgument(!name.isBlank(), "seed without a name");
        checkNotNull(peerAddress, "address");
    }
}

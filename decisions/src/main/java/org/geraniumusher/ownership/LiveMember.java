package org.geraniumusher.ownership;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Describes a daemon that membership holds alive. Immutable and thread-safe.
 *
 * @param dataCentre data centre that the daemon runs in
 */
public record LiveMember(MemberId id, String dataCentre) {
    /** Refuses nulls. */
    public LiveMember {
        checkNotNull(id, "id");
        checkNotNull(dataCentre, "dataCentre");
    }
}

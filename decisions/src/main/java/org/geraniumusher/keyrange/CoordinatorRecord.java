package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.StoreVersion;

/**
 * Identifies the coordinator in the store. Immutable.
 *
 * @param daemon name of the daemon, or empty when the last coordinator resigned
 * @param incarnation number of the daemon's run; it grows with each start
 * @param peerAddress address at which other daemons reach the coordinator
 * @param version epoch of the store that its writer knew, and revision of the record in the store
 */
public record CoordinatorRecord(
        String daemon, long incarnation, String peerAddress, StoreVersion version) {
    /** Throws {@link NullPointerException} if a component is null. */
    public CoordinatorRecord {
        checkNotNull(daemon);
        checkNotNull(peerAddress);
        checkNotNull(version);
    }

    /** Returns an ID of the run of the daemon, which differs after each start. */
    public String incarnationId() {
        return daemon + "/" + incarnation;
    }

    /** Reports whether there is no coordinator. */
    public boolean isVacant() {
        return daemon.isEmpty();
    }
}

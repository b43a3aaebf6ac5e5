package org.geraniumusher.keyrange;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names the coordinator, as the store keeps it. Immutable.
 *
 * @param daemon name of the daemon, or empty when the last one resigned
 * @param incarnation tells the lives of a daemon apart; grows with each start
 * @param peerAddress address at which other daemons reach the coordinator
 * @param revision revision of the store at which the record was read
 */
public record CoordinatorRecord(
        String daemon, long incarnation, String peerAddress, long revision) {
    /** Refuses nulls. */
    public CoordinatorRecord {
        checkNotNull(daemon);
        checkNotNull(peerAddress);
    }

    /** Reports whether nobody holds the office. */
    public boolean isVacant() {
        return daemon.isEmpty();
    }
}

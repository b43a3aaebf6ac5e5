package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableMap;

import org.geraniumusher.model.Address;
import org.geraniumusher.model.StoreVersion;

import java.util.OptionalLong;

/**
 * The objects of one kind as a peer has them. Immutable.
 *
 * @param peer the daemon from which the copy comes
 * @param version version of the store that the copy shows
 * @param settled whether an object that is missing in the copy was removed, and did not only expire
 *     while its writer could not reach the store
 * @param ageNanos time for which the peer has not known the copy to be current; empty if it did not
 *     say so
 * @param objects all objects of the kind, by name
 */
record PeerCopy(
        Address peer,
        StoreVersion version,
        boolean settled,
        OptionalLong ageNanos,
        ImmutableMap<String, StoreObject> objects) {
    PeerCopy {
        checkNotNull(peer);
        checkNotNull(version);
        checkNotNull(ageNanos);
        checkNotNull(objects);
    }
}

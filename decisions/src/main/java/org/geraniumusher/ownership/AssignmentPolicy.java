package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;

import org.geraniumusher.model.ShardState;

/**
 * Decides which server should own each slice; {@link ShardMember} decides when and how it moves. A
 * slice whose owner stays in the wanted list is not touched.
 */
@FunctionalInterface
public interface AssignmentPolicy {
    /**
     * Returns the wanted owner of each slice, in the order of the slices.
     *
     * @param servers servers that may receive slices: those in service that answer; not empty
     */
    ImmutableList<String> wantedOwners(ShardState state, ImmutableSortedSet<String> servers);
}

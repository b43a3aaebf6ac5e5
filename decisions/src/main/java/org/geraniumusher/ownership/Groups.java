package org.geraniumusher.ownership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.model.ShardState;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Converts groups between their stored form and identities. Thread-safe. */
final class Groups {
    private Groups() {}

    /** Returns the identities of a stored group. */
    static ImmutableList<MemberId> parse(List<String> group) {
        return group.stream().map(MemberId::parse).collect(ImmutableList.toImmutableList());
    }

    /** Returns the stored form of identities. */
    static ImmutableList<String> format(List<MemberId> group) {
        return group.stream().map(MemberId::toString).collect(ImmutableList.toImmutableList());
    }

    /** Returns how many members of a group have to agree. */
    static int majority(List<?> group) {
        return group.isEmpty() ? 0 : group.size() / 2 + 1;
    }

    /** Returns the members of the group and of all groups that are not fenced yet. */
    static Set<MemberId> everyone(ShardState state) {
        Set<MemberId> all = new LinkedHashSet<>(parse(state.group()));
        state.unfencedGroups().forEach(g -> all.addAll(parse(g)));
        return all;
    }

    /** Returns the state under a new coordinator; groups listed twice are listed once. */
    static ShardState takeOver(ShardState state, MemberId self, List<MemberId> standbys) {
        ShardState taken = state.takenOverBy(self.toString(), format(standbys));
        return taken.withUnfencedGroups(ImmutableSet.copyOf(taken.unfencedGroups()).asList());
    }
}

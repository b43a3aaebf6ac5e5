package org.geraniumusher.daemon;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;

import org.geraniumusher.ownership.MemberId;
import org.geraniumusher.platform.ReadResult;
import org.geraniumusher.platform.StoredObject;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;

/**
 * Tells from the platform's list of instances which runs of daemons have certainly ended.
 *
 * <p>The list lags: a new daemon may not be on it yet, and a lost one may still be. So a daemon
 * that is missing counts as gone only when it started so long ago that it must have been listed,
 * and when the list names this daemon, which shows that the list is kept. Immutable and
 * thread-safe.
 */
record InstanceList(ImmutableSet<String> names) {
    /** Kind of the platform's objects; an instance is named like the daemon that it runs. */
    static final String KIND = "instance";

    /** Longest time that the list is assumed to lag. */
    static final Duration MAX_LAG = Duration.ofMinutes(10);

    static InstanceList of(ReadResult.Found found) {
        return new InstanceList(
                found.objects().stream()
                        .map(StoredObject::name)
                        .collect(ImmutableSet.toImmutableSet()));
    }

    /** Returns those of {@code members} that have certainly ended. */
    ImmutableList<MemberId> gone(Collection<MemberId> members, MemberId self, long nowMillis) {
        if (!names.contains(self.name())) {
            return ImmutableList.of();
        }
        return members.stream()
                .filter(member -> !names.contains(member.name()))
                .filter(member -> nowMillis - member.incarnation() > MAX_LAG.toMillis())
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the members that the groups name. */
    static Set<MemberId> membersOf(Collection<? extends Collection<String>> groups) {
        return groups.stream()
                .flatMap(Collection::stream)
                .map(MemberId::parse)
                .collect(ImmutableSet.toImmutableSet());
    }
}

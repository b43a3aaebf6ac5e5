package org.geraniumusher.dissemination;

import com.google.common.collect.ImmutableList;

import org.geraniumusher.membership.Member;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Remembers which versions of the configuration the other daemons have reported in force.
 *
 * <p>Knowledge of a former incarnation is dropped, because a restarted daemon starts from nothing.
 * Not thread-safe.
 */
final class VersionsInForce {
    private final Map<String, Known> mKnown = new HashMap<>();

    /** Is the last report of a daemon. */
    private record Known(long incarnation, Versions versions) {}

    /** Takes a report; reports may arrive out of order. */
    void report(Member from, Versions versions) {
        mKnown.merge(
                from.name(),
                new Known(from.incarnation(), versions),
                (old, candidate) -> isNewer(candidate, old) ? candidate : old);
    }

    /** Returns those of {@code live} that are not known to have a version in force. */
    ImmutableList<Member> lagging(long version, Collection<Member> live) {
        return live.stream()
                .filter(member -> !has(member, version))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the last report of a member, or empty when there is none. */
    Optional<Versions> find(Member member) {
        return Optional.ofNullable(mKnown.get(member.name()))
                .filter(known -> known.incarnation() == member.incarnation())
                .map(Known::versions);
    }

    /** Forgets the reports of all but {@code live}. */
    void retain(Collection<Member> live) {
        Set<String> names = new HashSet<>();
        live.forEach(member -> names.add(member.name()));
        mKnown.keySet().retainAll(names);
    }

    private boolean has(Member member, long version) {
        Known known = mKnown.get(member.name());
        return known != null
                && known.incarnation() == member.incarnation()
                && known.versions().has(version);
    }

    private static boolean isNewer(Known candidate, Known old) {
        return candidate.incarnation() != old.incarnation()
                ? candidate.incarnation() > old.incarnation()
                : candidate.versions().configuration() >= old.versions().configuration();
    }
}

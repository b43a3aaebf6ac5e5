package org.geraniumusher.membership;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;

import org.geraniumusher.model.KeyHash;

import java.util.Collection;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Chooses live daemons for tasks by highest random weight.
 *
 * <p>All daemons with the same view choose alike, and when a member leaves only its tasks move. The
 * weight depends on the name and not on the incarnation, so a restart moves nothing. Immutable and
 * thread-safe. A choice costs time in proportion to the candidates, so callers keep its result
 * until the view changes.
 */
public final class Rendezvous {
    private final ImmutableList<Candidate> mAll;
    private final ImmutableListMultimap<String, Candidate> mByDataCentre;

    private Rendezvous(ImmutableList<Candidate> all) {
        mAll = all;
        ImmutableListMultimap.Builder<String, Candidate> byDataCentre =
                ImmutableListMultimap.builder();
        all.forEach(candidate -> byDataCentre.put(candidate.mMember.dataCentre(), candidate));
        mByDataCentre = byDataCentre.build();
    }

    /** Returns a choice among {@code live}. */
    public static Rendezvous of(Collection<Member> live) {
        return new Rendezvous(
                live.stream().map(Candidate::new).collect(ImmutableList.toImmutableList()));
    }

    /** Returns the members to choose from. */
    public ImmutableList<Member> members() {
        return mAll.stream()
                .map(candidate -> candidate.mMember)
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the members of a data centre. */
    public ImmutableList<Member> membersOf(String dataCentre) {
        return mByDataCentre.get(dataCentre).stream()
                .map(candidate -> candidate.mMember)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns the gateway daemon of a backend server: one of its data centre where there are any,
     * else any; empty when nobody is alive.
     */
    public Optional<Member> gateway(String backendServer, String dataCentre) {
        ImmutableList<Candidate> near = mByDataCentre.get(dataCentre);
        return best(near.isEmpty() ? mAll : near, KeyHash.of("gateway/" + backendServer));
    }

    /** Returns the relay of a data centre, or empty when no daemon is alive there. */
    public Optional<Member> relay(String dataCentre) {
        return best(mByDataCentre.get(dataCentre), KeyHash.of("relay/" + dataCentre));
    }

    /**
     * Returns up to two feeders of a region, the second in another data centre where there is one.
     *
     * @param dataCentres data centres of the region
     */
    public ImmutableList<Member> feeders(String region, Set<String> dataCentres) {
        ImmutableList<Candidate> inRegion =
                filter(mAll, c -> dataCentres.contains(c.mMember.dataCentre()));
        return pair(inRegion, KeyHash.of("feeder/" + region));
    }

    /**
     * Returns up to two daemons that collect the counts for the burn report, the second in another
     * data centre where there is one.
     */
    public ImmutableList<Member> burnCollectors() {
        return pair(mAll, KeyHash.of("burn"));
    }

    private static ImmutableList<Member> pair(ImmutableList<Candidate> candidates, long task) {
        Optional<Member> first = best(candidates, task);
        if (first.isEmpty()) {
            return ImmutableList.of();
        }
        String used = first.get().dataCentre();
        ImmutableList<Candidate> elsewhere =
                filter(candidates, c -> !c.mMember.dataCentre().equals(used));
        ImmutableList<Candidate> rest =
                elsewhere.isEmpty() ? filter(candidates, c -> c.mMember != first.get()) : elsewhere;
        ImmutableList.Builder<Member> chosen = ImmutableList.<Member>builder().add(first.get());
        best(rest, task).ifPresent(chosen::add);
        return chosen.build();
    }

    private static ImmutableList<Candidate> filter(
            ImmutableList<Candidate> all, Predicate<Candidate> condition) {
        return all.stream().filter(condition).collect(ImmutableList.toImmutableList());
    }

    private static Optional<Member> best(ImmutableList<Candidate> candidates, long task) {
        Candidate best = null;
        long bestWeight = 0;
        for (Candidate candidate : candidates) {
            long weight = mix(candidate.mHash ^ task);
            if (best == null || isHeavier(weight, candidate, bestWeight, best)) {
                best = candidate;
                bestWeight = weight;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.mMember);
    }

    private static boolean isHeavier(
            long weight, Candidate one, long otherWeight, Candidate other) {
        return weight == otherWeight
                ? one.mMember.name().compareTo(other.mMember.name()) < 0
                : weight > otherWeight;
    }

    /** Spreads the bits with the finalizer of MurmurHash3. */
    private static long mix(long value) {
        long h = value;
        h ^= h >>> 33;
        h *= 0xff51afd7ed558ccdL;
        h ^= h >>> 33;
        h *= 0xc4ceb9fe1a85ec53L;
        return h ^ (h >>> 33);
    }

    /** Holds a member with the hash of its name. */
    private static final class Candidate {
        private final Member mMember;
        private final long mHash;

        Candidate(Member member) {
            mMember = member;
            mHash = KeyHash.of(member.name());
        }
    }
}

package org.geraniumusher.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;

import org.geraniumusher.model.Address;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Chooses feeders: the daemons that watch the entries of backend servers in the store and relay the
 * changes to the other daemons of their data centre, their followers.
 *
 * <p>Load pattern: each daemon that watches the store costs it one call per batch of changes, so
 * the number of calls grows with the number of daemons times the number of changes. Each daemon
 * chooses on its own from its list of members, without consensus. Daemons whose lists differ
 * temporarily choose different feeders, and a daemon that finds no feeder watches the store itself.
 * Stateless and thread-safe.
 */
public final class Feeders {
    /** Up to this fleet size each daemon watches the store itself, which avoids an extra hop. */
    private static final int MAX_FLEET_WITHOUT_FEEDERS = 16;

    /** With two feeders, followers survive the loss of one; without any, they watch the store. */
    private static final int FEEDERS_PER_DATA_CENTRE = 2;

    /**
     * Orders members by decreasing link bandwidth. A feeder sends each batch of changes to all its
     * followers at once; when many servers change, this occupies a slow link for longer than the
     * time within which followers must learn of servers that shut down.
     */
    private static final Comparator<Member> HIGHEST_BANDWIDTH_FIRST =
            Comparator.comparingLong(Member::linkMbps)
                    .reversed()
                    .thenComparingInt(m -> hash(m.name()));

    private Feeders() {}

    /**
     * One daemon of the fleet. Immutable.
     *
     * @param peerAddress address at which other daemons reach it
     * @param linkMbps bandwidth of its network link in Mbit/s, 0 if unknown
     */
    public record Member(String name, String dataCentre, Address peerAddress, long linkMbps) {}

    /** Returns whether the fleet is large enough for feeders to watch on behalf of the others. */
    public static boolean usesFeeders(Collection<Member> members) {
        return members.size() > MAX_FLEET_WITHOUT_FEEDERS;
    }

    /** Returns whether the daemon {@code name} watches the store itself. */
    public static boolean isFeeder(Collection<Member> members, String name, String dataCentre) {
        return !usesFeeders(members)
                || feedersOf(members, dataCentre).stream().anyMatch(m -> m.name().equals(name));
    }

    /**
     * Returns the feeders of a data centre in the order in which the daemon {@code name} tries
     * them. The order differs between daemons, which spreads the followers over the feeders.
     */
    public static ImmutableList<Member> feedersFor(
            Collection<Member> members, String name, String dataCentre) {
        List<Member> feeders = new ArrayList<>(feedersOf(members, dataCentre));
        if (!feeders.isEmpty()) {
            Collections.rotate(feeders, Math.floorMod(hash(name), feeders.size()));
        }
        return ImmutableList.copyOf(feeders);
    }

    /**
     * Returns the members that the daemon {@code name} tells which copies of the store's objects
     * are current, so that these need not ask the store: the coordinator tells all others, or the
     * feeders if there are any, and a feeder tells its followers.
     */
    public static ImmutableList<Member> copyReceivers(
            Collection<Member> members, String name, String dataCentre, boolean isCoordinator) {
        Set<Member> feeders = usesFeeders(members) ? feedersOf(members) : Set.copyOf(members);
        boolean isFeeder = feeders.stream().anyMatch(m -> m.name().equals(name));
        return members.stream()
                .filter(m -> !m.name().equals(name))
                .filter(
                        m ->
                                feeders.contains(m)
                                        ? isCoordinator
                                        : isFeeder && m.dataCentre().equals(dataCentre))
                .collect(ImmutableList.toImmutableList());
    }

    /** Returns the feeders of all data centres. */
    private static Set<Member> feedersOf(Collection<Member> members) {
        return members.stream()
                .map(Member::dataCentre)
                .distinct()
                .flatMap(dataCentre -> feedersOf(members, dataCentre).stream())
                .collect(Collectors.toSet());
    }

    private static List<Member> feedersOf(Collection<Member> members, String dataCentre) {
        return members.stream()
                .filter(m -> m.dataCentre().equals(dataCentre))
                .sorted(HIGHEST_BANDWIDTH_FIRST)
                .limit(FEEDERS_PER_DATA_CENTRE)
                .toList();
    }

    private static int hash(String name) {
        return Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    }
}

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

/**
 * Chooses feeders, the daemons that watch the entries of backend servers in the store for the
 * others of their data centre.
 *
 * <p>Load pattern: each daemon that watches costs the store a call for each batch of changes, so
 * the calls grow with daemons times changes. The choice needs no agreement: daemons with different
 * lists of members differ for a while, and a daemon that finds no feeder watches by itself.
 */
public final class Feeders {
    /** In a fleet up to this size each daemon watches by itself, which needs no hop. */
    private static final int SMALL_FLEET = 16;

    /** With two feeders the loss of one is bridged; without any, followers go to the store. */
    private static final int PER_DATA_CENTRE = 2;

    /**
     * A feeder sends each batch of changes to all its followers at once, which fills a narrow link
     * for longer than the bounds for leaving servers when many servers change.
     */
    private static final Comparator<Member> WIDEST_FIRST =
            Comparator.comparingLong(Member::linkMbps)
                    .reversed()
                    .thenComparingInt(m -> hash(m.name()));

    private Feeders() {}

    /**
     * One daemon of the fleet.
     *
     * @param linkMbps width of its network link, 0 when it is not known
     */
    public record Member(String name, String dataCentre, Address peers, long linkMbps) {}

    /** Reports whether the fleet is so large that some daemons watch for the others. */
    public static boolean isLarge(Collection<Member> members) {
        return members.size() > SMALL_FLEET;
    }

    /** Reports whether the daemon {@code name} watches the store by itself. */
    public static boolean isFeeder(Collection<Member> members, String name, String dataCentre) {
        return !isLarge(members)
                || ranked(members, dataCentre).stream().anyMatch(m -> m.name().equals(name));
    }

    /**
     * Returns the feeders of a data centre, in an order that differs from daemon to daemon, so that
     * the followers spread over them.
     */
    public static ImmutableList<Member> of(
            Collection<Member> members, String name, String dataCentre) {
        List<Member> feeders = new ArrayList<>(ranked(members, dataCentre));
        if (!feeders.isEmpty()) {
            Collections.rotate(feeders, Math.floorMod(hash(name), feeders.size()));
        }
        return ImmutableList.copyOf(feeders);
    }

    private static List<Member> ranked(Collection<Member> members, String dataCentre) {
        return members.stream()
                .filter(m -> m.dataCentre().equals(dataCentre))
                .sorted(WIDEST_FIRST)
                .limit(PER_DATA_CENTRE)
                .toList();
    }

    private static int hash(String name) {
        return Hashing.murmur3_32_fixed().hashString(name, StandardCharsets.UTF_8).asInt();
    }
}

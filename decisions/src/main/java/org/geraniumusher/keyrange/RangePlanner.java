package org.geraniumusher.keyrange;

import com.google.common.collect.ImmutableList;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Plans which server should own which range. Holds the loads of one planning step. Not thread-safe.
 *
 * <p>Load patterns: a few neighbouring keys that draw much of the traffic, and that change; servers
 * that join, leave or are lost; servers of different speed.
 */
final class RangePlanner {
    /** A range that has lost its owner is divided so that its load spreads over several servers. */
    private static final int MAX_ORPHAN_PARTS = 3;

    /** A server above this share of its capacity may give keys away. */
    private static final double BUSY = 0.5;

    /** The busiest server must exceed the mean by this factor; below, a move costs more. */
    private static final double IMBALANCE = 1.35;

    /** A window of keys is worth a move when it carries this share of the wanted load. */
    private static final double ENOUGH = 0.4;

    /** A server that has no keys yet gets a first window even if it carries little. */
    private static final double ENOUGH_FOR_JOINED = 0.1;

    /** A window may carry this much more than wanted, so that a hot key can be its last. */
    private static final double EXCESS = 1.1;

    /** Source and target end below their mean, which leaves room for the next change. */
    private static final double LEVEL_SHARE = 0.9;

    /** A move takes at least this part of the load of the source away. */
    private static final double KEPT_SHARE = 0.7;

    /** Keys added to the width of a window, so that single keys do not win by width alone. */
    private static final int MIN_WIDTH = 32;

    private final Map<String, RangeServer> mServers = new LinkedHashMap<>();
    private final KeyLoad mLoad;
    private final Map<String, Double> mLoads = new HashMap<>();

    private RangePlanner(Collection<RangeServer> servers, KeyLoad load) {
        servers.forEach(s -> mServers.put(s.life(), s));
        mLoad = load;
    }

    static RangePlanner create(Collection<RangeServer> servers, KeyLoad load) {
        return new RangePlanner(servers, load);
    }

    /** Divides all keys evenly by capacity; empty when no server may take any. */
    static ImmutableList<Assignment> divide(Collection<RangeServer> servers) {
        List<RangeServer> takers = servers.stream().filter(RangeServer::mayTake).toList();
        double total = takers.stream().mapToDouble(RangeServer::capacity).sum();
        ImmutableList.Builder<Assignment> result = ImmutableList.builder();
        int first = 0;
        double sum = 0;
        for (RangeServer server : takers) {
            sum += server.capacity();
            int last = (int) Math.round((KeyRange.MAX_KEY + 1) * sum / total) - 1;
            if (last >= first) {
                result.add(Assignment.of(new KeyRange(first, last), server.life()));
                first = last + 1;
            }
        }
        return result.build();
    }

    /** Counts the load of each owner. */
    void measure(List<Assignment> assignments) {
        mLoads.clear();
        for (Assignment a : assignments) {
            mLoads.merge(a.owner(), mLoad.of(a.range()), Double::sum);
        }
    }

    /** Returns the load of a server relative to its capacity. */
    double utilization(RangeServer server) {
        return mLoads.getOrDefault(server.life(), 0.0) / server.capacity();
    }

    /** Returns the parts of a range without a usable owner, each with a new owner. */
    List<Assignment> adopt(Assignment orphan, ImmutableList<String> previous) {
        List<Assignment> parts = new ArrayList<>();
        for (KeyRange part : split(orphan.range())) {
            Optional<RangeServer> target = leastUtilized();
            if (target.isEmpty()) {
                return List.of();
            }
            String life = target.get().life();
            mLoads.merge(life, mLoad.of(part), Double::sum);
            parts.add(new Assignment(part, life, Assignment.UNSTAMPED, previous));
        }
        return parts;
    }

    private Optional<RangeServer> leastUtilized() {
        RangeServer best = null;
        for (RangeServer server : mServers.values()) {
            if (server.mayTake() && (best == null || utilization(server) < utilization(best))) {
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    private List<KeyRange> split(KeyRange range) {
        double total = mLoad.of(range);
        double mean = mLoads.values().stream().mapToDouble(d -> d).sum() / mServers.size();
        int parts = (int) Math.min(MAX_ORPHAN_PARTS, Math.ceil(2 * total / Math.max(mean, 1e-9)));
        List<KeyRange> result = new ArrayList<>();
        int first = range.first();
        double sum = 0;
        for (int key = range.first(); key <= range.last(); key++) {
            sum += mLoad.of(key);
            boolean full = sum >= total * (result.size() + 1) / parts;
            if (key == range.last() || full && result.size() < parts - 1) {
                result.add(new KeyRange(first, key));
                first = key + 1;
            }
        }
        return result;
    }

    /**
     * Finds the narrowest window of keys whose move takes load from a busy server to the idlest.
     * The busiest server comes first; one whose load is a single key has no window, and must not
     * keep the others from being relieved. Returns the move as a window of one assignment and its
     * new owner.
     */
    Optional<RangeMove> relieve(List<Assignment> movable) {
        RangeServer target = leastUtilized().orElse(null);
        if (target == null) {
            return Optional.empty();
        }
        Set<String> owners = movable.stream().map(Assignment::owner).collect(Collectors.toSet());
        List<RangeServer> sources =
                mServers.values().stream()
                        .filter(server -> owners.contains(server.life()) && server != target)
                        .sorted(Comparator.comparingDouble(this::utilization).reversed())
                        .toList();
        for (RangeServer source : sources) {
            Optional<KeyRange> window = windowOf(movable, source, target);
            if (window.isPresent()) {
                return window.map(w -> new RangeMove(w, target.life()));
            }
        }
        return Optional.empty();
    }

    private Optional<KeyRange> windowOf(
            List<Assignment> movable, RangeServer source, RangeServer target) {
        double capacity = mServers.values().stream().mapToDouble(RangeServer::capacity).sum();
        double mean = mLoads.values().stream().mapToDouble(d -> d).sum() / capacity;
        boolean joined = !mLoads.containsKey(target.life());
        double high = utilization(source);
        if (!joined && (high < BUSY || high < mean * IMBALANCE)) {
            return Optional.empty();
        }
        double level = Math.max(mean, (high + utilization(target)) / 2 * LEVEL_SHARE);
        double wanted =
                Math.min(
                        (high - Math.min(level, high * KEPT_SHARE)) * source.capacity(),
                        (level - utilization(target)) * target.capacity());
        return narrowest(movable, source.life(), wanted, joined);
    }

    private Optional<KeyRange> narrowest(
            List<Assignment> movable, String owner, double wanted, boolean any) {
        KeyRange best = null;
        double bestWork = 0;
        for (Assignment a : movable) {
            if (!a.owner().equals(owner)) {
                continue;
            }
            int first = a.range().first();
            double sum = 0;
            for (int last = first; last <= a.range().last(); last++) {
                sum += mLoad.of(last);
                while (sum > wanted && first < last) {
                    sum -= mLoad.of(first++);
                }
                boolean fits =
                        sum <= wanted * EXCESS
                                && sum >= wanted * (any ? ENOUGH_FOR_JOINED : ENOUGH);
                double density = sum / (last - first + 1 + MIN_WIDTH);
                if (fits && density > bestWork) {
                    bestWork = density;
                    best = new KeyRange(first, last);
                }
            }
        }
        return Optional.ofNullable(best);
    }
}

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
 * Plans which server owns which range. Holds the loads of one planning step. Not thread-safe.
 *
 * <p>Handles a few neighbouring hot keys that draw much of the traffic and change over time,
 * servers that join, leave or fail, and servers of different speed.
 */
final class RangePlanner {
    /**
     * A range without a usable owner is divided into at most this many parts, to spread its load
     * over several servers.
     */
    private static final int MAX_ORPHAN_PARTS = 3;

    /** Utilization below which no load is moved off a server, unless the target has no keys. */
    private static final double MIN_SOURCE_UTILIZATION = 0.5;

    /**
     * Minimum ratio of the utilization of the source to the mean. At a lower ratio a move costs
     * more than it gains.
     */
    private static final double MIN_IMBALANCE_RATIO = 1.35;

    /** Minimum load of a moved window, as a share of the load that should move. */
    private static final double MIN_WINDOW_SHARE = 0.4;

    /** Minimum share of the load to move for a target that has no keys yet. */
    private static final double MIN_WINDOW_SHARE_FOR_NEW_SERVER = 0.1;

    /**
     * Maximum load of a moved window, as a share of the load that should move. It is above 1 so
     * that a hot key can be the last of the window.
     */
    private static final double MAX_WINDOW_SHARE = 1.1;

    /**
     * Factor on the mean utilization of source and target that a move aims at. It is below 1 to
     * leave headroom for the next change.
     */
    private static final double LEVEL_FACTOR = 0.9;

    /** Maximum share of its load that the source of a move should keep. */
    private static final double MAX_KEPT_SHARE = 0.7;

    /** Added to the width of a window so that single keys do not win by their width alone. */
    private static final int WIDTH_OFFSET_KEYS = 32;

    private final Map<String, RangeServer> mServers = new LinkedHashMap<>();
    private final KeyLoad mLoad;
    private final Map<String, Double> mOwnerLoads = new HashMap<>();

    private RangePlanner(Collection<RangeServer> servers, KeyLoad load) {
        servers.forEach(s -> mServers.put(s.incarnationId(), s));
        mLoad = load;
    }

    static RangePlanner create(Collection<RangeServer> servers, KeyLoad load) {
        return new RangePlanner(servers, load);
    }

    /** Divides all keys by capacity, or returns an empty list if no server accepts ranges. */
    static ImmutableList<Assignment> divideEvenly(Collection<RangeServer> servers) {
        List<RangeServer> recipients = servers.stream().filter(RangeServer::acceptsRanges).toList();
        double total = recipients.stream().mapToDouble(RangeServer::capacity).sum();
        ImmutableList.Builder<Assignment> result = ImmutableList.builder();
        int first = 0;
        double sum = 0;
        for (RangeServer server : recipients) {
            sum += server.capacity();
            int last = (int) Math.round((KeyRange.MAX_KEY + 1) * sum / total) - 1;
            if (last >= first) {
                result.add(Assignment.of(new KeyRange(first, last), server.incarnationId()));
                first = last + 1;
            }
        }
        return result.build();
    }

    /** Computes the load of each owner from the assignments. */
    void updateLoads(List<Assignment> assignments) {
        mOwnerLoads.clear();
        for (Assignment assignment : assignments) {
            mOwnerLoads.merge(assignment.owner(), mLoad.of(assignment.range()), Double::sum);
        }
    }

    /** Returns the load of a server relative to its capacity. */
    double utilization(RangeServer server) {
        return mOwnerLoads.getOrDefault(server.incarnationId(), 0.0) / server.capacity();
    }

    /** Divides a range without a usable owner and returns its parts with new owners. */
    List<Assignment> reassign(Assignment orphan, ImmutableList<String> previous) {
        List<Assignment> parts = new ArrayList<>();
        for (KeyRange part : splitByLoad(orphan.range())) {
            Optional<RangeServer> target = leastUtilized();
            if (target.isEmpty()) {
                return List.of();
            }
            String incarnationId = target.get().incarnationId();
            mOwnerLoads.merge(incarnationId, mLoad.of(part), Double::sum);
            parts.add(new Assignment(part, incarnationId, Assignment.UNSET_FENCE, previous));
        }
        return parts;
    }

    private Optional<RangeServer> leastUtilized() {
        RangeServer best = null;
        for (RangeServer server : mServers.values()) {
            if (server.acceptsRanges()
                    && (best == null || utilization(server) < utilization(best))) {
                best = server;
            }
        }
        return Optional.ofNullable(best);
    }

    private List<KeyRange> splitByLoad(KeyRange range) {
        double total = mLoad.of(range);
        double mean = mOwnerLoads.values().stream().mapToDouble(d -> d).sum() / mServers.size();
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
     * Finds a move of the densest suitable window of keys from a busy server to the least utilized
     * one. Sources are tried in order of falling utilization, because the busiest may have all its
     * load on a single key, which no window can split, and must not prevent the relief of the
     * others.
     */
    Optional<RangeMove> findLoadMove(List<Assignment> movable) {
        RangeServer target = leastUtilized().orElse(null);
        if (target == null) {
            return Optional.empty();
        }
        Set<String> owners = movable.stream().map(Assignment::owner).collect(Collectors.toSet());
        List<RangeServer> sources =
                mServers.values().stream()
                        .filter(
                                server ->
                                        owners.contains(server.incarnationId()) && server != target)
                        .sorted(Comparator.comparingDouble(this::utilization).reversed())
                        .toList();
        for (RangeServer source : sources) {
            Optional<KeyRange> window = findWindow(movable, source, target);
            if (window.isPresent()) {
                return window.map(w -> new RangeMove(w, target.incarnationId()));
            }
        }
        return Optional.empty();
    }

    private Optional<KeyRange> findWindow(
            List<Assignment> movable, RangeServer source, RangeServer target) {
        double capacity = mServers.values().stream().mapToDouble(RangeServer::capacity).sum();
        double mean = mOwnerLoads.values().stream().mapToDouble(d -> d).sum() / capacity;
        boolean targetHasNoKeys = !mOwnerLoads.containsKey(target.incarnationId());
        double sourceUtilization = utilization(source);
        if (!targetHasNoKeys
                && (sourceUtilization < MIN_SOURCE_UTILIZATION
                        || sourceUtilization < mean * MIN_IMBALANCE_RATIO)) {
            return Optional.empty();
        }
        double levelAfterMove =
                Math.max(mean, (sourceUtilization + utilization(target)) / 2 * LEVEL_FACTOR);
        double loadToMove =
                Math.min(
                        (sourceUtilization
                                        - Math.min(
                                                levelAfterMove, sourceUtilization * MAX_KEPT_SHARE))
                                * source.capacity(),
                        (levelAfterMove - utilization(target)) * target.capacity());
        return findDensestWindow(movable, source.incarnationId(), loadToMove, targetHasNoKeys);
    }

    private Optional<KeyRange> findDensestWindow(
            List<Assignment> movable, String owner, double loadToMove, boolean targetHasNoKeys) {
        KeyRange best = null;
        double bestDensity = 0;
        for (Assignment assignment : movable) {
            if (!assignment.owner().equals(owner)) {
                continue;
            }
            int first = assignment.range().first();
            double sum = 0;
            for (int last = first; last <= assignment.range().last(); last++) {
                sum += mLoad.of(last);
                while (sum > loadToMove && first < last) {
                    sum -= mLoad.of(first++);
                }
                boolean fits =
                        sum <= loadToMove * MAX_WINDOW_SHARE
                                && sum
                                        >= loadToMove
                                                * (targetHasNoKeys
                                                        ? MIN_WINDOW_SHARE_FOR_NEW_SERVER
                                                        : MIN_WINDOW_SHARE);
                double density = sum / (last - first + 1 + WIDTH_OFFSET_KEYS);
                if (fits && density > bestDensity) {
                    bestDensity = density;
                    best = new KeyRange(first, last);
                }
            }
        }
        return Optional.ofNullable(best);
    }
}

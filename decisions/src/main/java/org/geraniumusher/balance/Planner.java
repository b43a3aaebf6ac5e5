package org.geraniumusher.balance;

import com.google.common.hash.Hashing;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Makes one plan. Lost owners come first and without a limit, since their keys are not served; then
 * draining servers, as fast as the targets may receive; then balance, within all limits.
 *
 * <p>Each move for balance lowers the higher level of two servers by at least the least gain, so
 * with constant loads a sequence of plans ends. Used once, by one thread.
 */
final class Planner {
    /** Hysteresis in levels relative to the mean; the goal of imbalance is 1.15. */
    private static final double START_HIGH = 1.10;

    private static final double STOP_HIGH = 1.05;

    /**
     * An empty server among 20 raises the others by 5% only, which START_HIGH does not notice. The
     * limits are wider than above the mean, because a low level harms no request.
     */
    private static final double START_LOW = 0.80;

    private static final double STOP_LOW = 0.90;

    private final BalanceStrategy mStrategy;
    private final BalanceInput mInput;
    private final Map<String, Node> mNodes = new TreeMap<>();
    private final List<Node> mTargets = new ArrayList<>();
    private final List<SliceLoad> mLost = new ArrayList<>();
    private final List<Move> mMoves = new ArrayList<>();
    private double mBigWeight;

    Planner(BalanceStrategy strategy, BalanceInput input) {
        mStrategy = strategy;
        mInput = input;
    }

    BalancePlan plan() {
        createNodes();
        placeSlices();
        if (mTargets.isEmpty()) {
            return new BalancePlan(mMoves, mInput.isRebalancing());
        }
        assignLost();
        drain();
        return new BalancePlan(mMoves, rebalance());
    }

    private void createNodes() {
        for (ServerCapacity server : mInput.servers()) {
            int incoming = mInput.limits().incoming(server);
            Node node = new Node(server, mStrategy.capacity(server), incoming);
            mNodes.put(server.name(), node);
        }
        mNodes.values().stream().filter(n -> !n.isDraining()).forEach(mTargets::add);
        double total = mInput.slices().stream().mapToDouble(mStrategy::weight).sum();
        mBigWeight = mInput.limits().bigShare() * total / Math.max(1, mTargets.size());
    }

    private void placeSlices() {
        Map<Long, Move> inFlight = new HashMap<>();
        mInput.inFlight().forEach(m -> inFlight.put(m.first(), m));
        List<SliceLoad> moving = new ArrayList<>();
        for (SliceLoad slice : mInput.slices()) {
            Move move = inFlight.get(slice.slice().first());
            if (move != null && mNodes.containsKey(move.to())) {
                mNodes.get(move.to()).receive(mStrategy.weight(slice));
                moving.add(slice);
            } else if (mNodes.containsKey(slice.slice().owner())) {
                mNodes.get(slice.slice().owner()).own(slice, mStrategy.weight(slice));
            } else {
                mLost.add(slice);
            }
        }
        for (SliceLoad slice : moving) {
            markBigMove(inFlight.get(slice.slice().first()), mStrategy.weight(slice));
        }
    }

    private void markBigMove(Move move, double weight) {
        if (!isBig(weight)) {
            return;
        }
        mNodes.get(move.to()).startBigMove();
        if (mNodes.containsKey(move.from())) {
            mNodes.get(move.from()).startBigMove();
        }
    }

    private boolean isBig(double weight) {
        return weight >= mBigWeight;
    }

    private void assignLost() {
        mLost.sort(heaviestFirst());
        for (SliceLoad slice : mLost) {
            Node target = lowest(slice, n -> true).orElseThrow();
            start(slice, slice.slice().owner(), target, MoveReason.OWNER_LOST);
        }
    }

    private void drain() {
        List<SliceLoad> slices = new ArrayList<>();
        mNodes.values().stream().filter(Node::isDraining).forEach(n -> slices.addAll(n.movable()));
        slices.sort(heaviestFirst());
        for (SliceLoad slice : slices) {
            Node source = mNodes.get(slice.slice().owner());
            target(slice, source).ifPresent(t -> move(slice, source, t, MoveReason.DRAIN));
        }
    }

    /** Plans moves for balance and returns whether the hysteresis is on. */
    private boolean rebalance() {
        boolean isOn = mInput.isRebalancing() ? isOutside(STOP_LOW, STOP_HIGH) : isOutsideStart();
        boolean isDraining = mNodes.values().stream().anyMatch(Planner::isLeaving);
        if (!isOn || isDraining || !mMoves.isEmpty()) {
            return isOn;
        }
        int budget = mInput.limits().movesPerMinute() - mInput.movesInLastMinute();
        while (budget > 0 && moveOne()) {
            budget--;
        }
        return true;
    }

    private static boolean isLeaving(Node node) {
        return node.isDraining() && !node.movable().isEmpty();
    }

    private boolean isOutsideStart() {
        return isOutside(START_LOW, START_HIGH);
    }

    private boolean isOutside(double low, double high) {
        double mean = mean();
        return mTargets.stream().anyMatch(n -> n.level() > high * mean || n.level() < low * mean);
    }

    private double mean() {
        double weight = mTargets.stream().mapToDouble(Node::weight).sum();
        return weight / mTargets.stream().mapToDouble(Node::capacity).sum();
    }

    /** Moves the slice with the highest gain off the highest server that has one worth a move. */
    private boolean moveOne() {
        List<Node> sources = new ArrayList<>(mTargets);
        sources.sort(Comparator.comparingDouble(Node::level).reversed());
        double mean = mean();
        for (Node source : sources) {
            if (source.level() <= mean) {
                return false;
            }
            Optional<Candidate> best = bestOf(source, mean);
            if (best.isPresent()) {
                move(best.get().slice(), source, best.get().target(), MoveReason.BALANCE);
                return true;
            }
        }
        return false;
    }

    private Optional<Candidate> bestOf(Node source, double mean) {
        Candidate best = null;
        for (SliceLoad slice : source.movable()) {
            Node target = target(slice, source).orElse(null);
            if (target == null || !isNeeded(source, target, mean)) {
                continue;
            }
            double weight = mStrategy.weight(slice);
            double after = Math.max(source.levelWith(-weight), target.levelWith(weight));
            double gain = (source.level() - after) / mean;
            if (gain >= mInput.limits().minGain() && (best == null || gain > best.gain())) {
                best = new Candidate(slice, target, gain);
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean isNeeded(Node source, Node target, double mean) {
        return source.level() > STOP_HIGH * mean || target.level() < STOP_LOW * mean;
    }

    /** Returns the server that a slice of {@code source} may move to now. */
    private Optional<Node> target(SliceLoad slice, Node source) {
        boolean isBig = isBig(mStrategy.weight(slice));
        if (isBig && source.hasBigMove()) {
            return Optional.empty();
        }
        return lowest(slice, n -> n != source && n.canReceive(isBig));
    }

    private Optional<Node> lowest(SliceLoad slice, Predicate<Node> condition) {
        double weight = mStrategy.weight(slice);
        long first = slice.slice().first();
        return mTargets.stream()
                .filter(condition)
                .min(
                        Comparator.<Node>comparingDouble(n -> n.levelWith(weight))
                                .thenComparingLong(n -> rendezvous(first, n.name())));
    }

    private static long rendezvous(long first, String server) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(first)
                .putString(server, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    private Comparator<SliceLoad> heaviestFirst() {
        return Comparator.<SliceLoad>comparingDouble(mStrategy::weight)
                .reversed()
                .thenComparingLong(s -> s.slice().first());
    }

    private void move(SliceLoad slice, Node source, Node target, MoveReason reason) {
        source.give(slice, mStrategy.weight(slice));
        start(slice, source.name(), target, reason);
    }

    private void start(SliceLoad slice, String from, Node target, MoveReason reason) {
        double weight = mStrategy.weight(slice);
        Move move = new Move(slice.slice().first(), from, target.name(), reason);
        target.receive(weight);
        markBigMove(move, weight);
        mMoves.add(move);
    }

    /** Holds a possible move for balance. */
    private record Candidate(SliceLoad slice, Node target, double gain) {}
}

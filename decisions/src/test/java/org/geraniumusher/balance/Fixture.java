package org.geraniumusher.balance;

import org.geraniumusher.balance.ServerCapacity.Condition;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Holds a service whose planned moves complete at once. Not thread-safe. */
final class Fixture {
    private final List<SliceLoad> mSlices = new ArrayList<>();
    private final Map<String, ServerCapacity> mServers = new TreeMap<>();
    private boolean mIsRebalancing;

    Fixture server(String name, Condition condition) {
        mServers.put(name, new ServerCapacity(name, 6, 2, condition));
        return this;
    }

    Fixture servers(int count) {
        for (int i = 0; i < count; i++) {
            server("s" + i, Condition.WARM);
        }
        return this;
    }

    Fixture lose(String name) {
        mServers.remove(name);
        return this;
    }

    Fixture slices(String owner, double... loads) {
        for (double load : loads) {
            long first = mSlices.size() * 10L;
            mSlices.add(new SliceLoad(new Slice(first, first + 9, owner, 0, "", ""), load));
        }
        return this;
    }

    Fixture rebalancing() {
        mIsRebalancing = true;
        return this;
    }

    BalanceInput.Builder input() {
        return BalanceInput.builder()
                .slices(mSlices)
                .servers(new ArrayList<>(mServers.values()))
                .isRebalancing(mIsRebalancing);
    }

    /** Plans and completes the moves; returns them. */
    List<Move> step(BalanceStrategy strategy) {
        BalancePlan plan = strategy.plan(input().build());
        mIsRebalancing = plan.isRebalancing();
        plan.moves().forEach(this::complete);
        return plan.moves();
    }

    /** Plans until a plan is empty; returns the number of moves or fails after 1,000 plans. */
    int settle(BalanceStrategy strategy) {
        int moves = 0;
        for (int i = 0; i < 1_000; i++) {
            int count = step(strategy).size();
            if (count == 0) {
                return moves;
            }
            moves += count;
        }
        throw new AssertionError("planning has not settled after 1000 plans");
    }

    private void complete(Move move) {
        mSlices.replaceAll(
                s ->
                        s.slice().first() == move.first()
                                ? new SliceLoad(
                                        s.slice().assignedTo(move.to(), s.slice().epoch() + 1),
                                        s.requestsPerSecond())
                                : s);
    }

    long count(String server) {
        return mSlices.stream().filter(s -> s.slice().owner().equals(server)).count();
    }

    double load(String server) {
        return mSlices.stream()
                .filter(s -> s.slice().owner().equals(server))
                .mapToDouble(SliceLoad::requestsPerSecond)
                .sum();
    }

    double imbalance() {
        double total = mSlices.stream().mapToDouble(SliceLoad::requestsPerSecond).sum();
        double highest = mServers.keySet().stream().mapToDouble(this::load).max().orElseThrow();
        return highest * mServers.size() / total;
    }
}

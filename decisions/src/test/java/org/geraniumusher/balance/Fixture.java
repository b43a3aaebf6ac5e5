package org.geraniumusher.balance;

import org.geraniumusher.balance.ServerCapacity.Condition;
import org.geraniumusher.model.Slice;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Holds a service whose planned moves complete at once. Not thread-safe. */
final class Fixture {
    private final List<SliceLoad> mSlices = new ArrayList<>();
    private final Map<String, ServerCapacity> mServers = new TreeMap<>();
    private boolean mIsRebalancing;

    /** Returns warm servers s0, s1 and so on with so many slices of load 1. */
    static Fixture of(int... counts) {
        Fixture fixture = new Fixture();
        for (int i = 0; i < counts.length; i++) {
            fixture.server("s" + i, Condition.WARM).slices("s" + i, counts[i], 1);
        }
        return fixture;
    }

    Fixture server(String name, Condition condition) {
        mServers.put(name, new ServerCapacity(name, 6, 2, condition));
        return this;
    }

    Fixture lose(String name) {
        mServers.remove(name);
        return this;
    }

    Fixture slices(String owner, int count, double load) {
        for (int i = 0; i < count; i++) {
            long first = mSlices.size() * 10L;
            mSlices.add(new SliceLoad(new Slice(first, first + 9, owner, 0, "", ""), load));
        }
        return this;
    }

    BalanceInput.Builder input() {
        List<ServerCapacity> servers = new ArrayList<>(mServers.values());
        return BalanceInput.builder()
                .slices(mSlices)
                .servers(servers)
                .isRebalancing(mIsRebalancing);
    }

    /** Plans and completes the moves; returns them. */
    List<Move> step() {
        BalancePlan plan = BalanceStrategy.LOAD.plan(input().build());
        mIsRebalancing = plan.isRebalancing();
        plan.moves().forEach(m -> mSlices.replaceAll(s -> apply(m, s)));
        return plan.moves();
    }

    private static SliceLoad apply(Move move, SliceLoad load) {
        Slice slice = load.slice();
        return slice.first() == move.first()
                ? new SliceLoad(
                        slice.assignedTo(move.to(), slice.epoch() + 1), load.requestsPerSecond())
                : load;
    }

    /** Plans until a plan is empty, at most 1,000 times; returns the number of moves. */
    int settle() {
        return Stream.generate(this::step)
                .limit(1_000)
                .takeWhile(m -> !m.isEmpty())
                .mapToInt(List::size)
                .sum();
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

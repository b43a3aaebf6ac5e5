package org.geraniumusher.choice;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Chooses servers of one unkeyed service for one daemon.
 *
 * <p>The random source must be seeded differently in each daemon. Not thread-safe.
 */
public final class ServerChooser {
    private final ChoiceStrategy mStrategy;
    private final RandomGenerator mRandom;
    private int mTurn;

    private ServerChooser(ChoiceStrategy strategy, RandomGenerator random) {
        mStrategy = strategy;
        mRandom = random;
        mTurn = random.nextInt(1 << 20);
    }

    /** Returns a chooser that starts its turns at a random server. */
    public static ServerChooser create(ChoiceStrategy strategy, RandomGenerator random) {
        checkNotNull(strategy, "strategy");
        checkNotNull(random, "random");
        return new ServerChooser(strategy, random);
    }

    /** Returns one of {@code servers}, or nothing when there is none. */
    public Optional<ServerView> choose(
            List<ServerView> servers, boolean idempotent, long nowNanos) {
        if (servers.isEmpty()) {
            return Optional.empty();
        }
        ChoiceContext context = new ChoiceContext(mTurn++, idempotent, nowNanos, mRandom);
        return Optional.of(mStrategy.choose(servers, context));
    }

    /** Sets the weights of {@code servers} by name, as the straggler detector gives them. */
    public void reweigh(List<ServerView> servers, ToDoubleFunction<String> weightOf) {
        for (ServerView server : servers) {
            server.setWeight(weightOf.applyAsDouble(server.name()));
        }
    }

    /** Returns the mean share of slots in use over {@code servers}, as hedges ask for it. */
    public double utilisation(List<ServerView> servers, long nowNanos) {
        return servers.stream().mapToDouble(s -> s.utilisation(nowNanos)).average().orElse(1);
    }
}

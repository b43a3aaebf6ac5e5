package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses a server for a request without a key.
 *
 * <p>Load patterns: servers whose speeds differ by more than two, servers that turn slow, reject or
 * fail a share of their requests, and many daemons that see the same report. The expected time of a
 * request decides, a server in another data centre counts as slower, and a random factor keeps
 * daemons from choosing the same server.
 */
public final class ServerPicker {
    /** Share of the goal that a send to another data centre counts as, for its price. */
    private static final double REMOTE_SHARE = 0.2;

    private static final double JITTER = 0.25;

    /** A server that fails each request counts as one that takes this many goals. */
    private static final double FAILURE_GOALS = 3;

    /** A server that was tried already is used only when there is no other. */
    private static final double TRIED_GOALS = 5;

    /** Requests that may wait at a server for each slot, beyond those that run. */
    private static final double QUEUE_PER_SLOT = 1;

    private ServerPicker() {}

    /** A server that may be chosen. */
    public record Candidate(String life, ServerLoad load, int slots, boolean local, boolean tried) {
        /** Refuses nulls. */
        public Candidate {
            checkNotNull(life);
            checkNotNull(load);
        }
    }

    /**
     * Returns the server to send to, or empty when the request must wait for one.
     *
     * @param goalLeftNanos time within which the response has its full value
     * @param coldRate requests a second that this daemon may send to a cold server
     */
    public static Optional<Candidate> pick(
            List<Candidate> candidates,
            long goalLeftNanos,
            double coldRate,
            long nowNanos,
            Random random) {
        Candidate best = null;
        double bestScore = Double.MAX_VALUE;
        double goal = Math.max(goalLeftNanos, 100_000_000L);
        for (Candidate candidate : candidates) {
            ServerLoad load = candidate.load();
            boolean full = load.expectedLoad(nowNanos) >= candidate.slots() * (1 + QUEUE_PER_SLOT);
            if (full || load.isSuspect(nowNanos)) {
                continue;
            }
            double score =
                    load.expectedNanos(nowNanos) / goal
                            + (candidate.local() ? 0 : REMOTE_SHARE)
                            + load.failureShare() * FAILURE_GOALS
                            + (candidate.tried() ? TRIED_GOALS : 0);
            score *= 1 + JITTER * random.nextDouble();
            if (score < bestScore && load.mayAdmit(coldRate, nowNanos)) {
                best = candidate;
                bestScore = score;
            }
        }
        // Only the server that is chosen gives up a part of its share while it is cold.
        if (best != null) {
            best.load().tryAdmit(coldRate, nowNanos);
        }
        return Optional.ofNullable(best);
    }
}

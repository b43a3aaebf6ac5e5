package org.geraniumusher.dispatch;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Chooses a backend server for a request without a key. Stateless; the caller must synchronize
 * access to the candidates' loads and to the random source.
 *
 * <p>Load patterns: servers whose speeds differ by more than a factor of two, servers that become
 * slow or reject or fail some of their requests, and many daemons that see the same load report.
 * The server with the lowest score is chosen. The score is the expected response time as a multiple
 * of the remaining latency goal, plus penalties in the same unit. A random factor keeps daemons
 * that see the same reports from choosing the same server.
 */
public final class ServerPicker {
    /**
     * Penalty for a server in another data centre, in latency goals, because traffic between data
     * centres costs money.
     */
    private static final double REMOTE_PENALTY = 0.2;

    /** Scores are multiplied by a random factor from 1 to 1 + this value. */
    private static final double JITTER = 0.25;

    /** Penalty for a server that fails every request, in latency goals. */
    private static final double FAILURE_PENALTY = 3;

    /**
     * Penalty, in latency goals, for a server that the request was already sent to. It is high
     * enough that such a server is chosen again only if there is no other.
     */
    private static final double TRIED_PENALTY = 5;

    /** Maximum number of queued requests per slot of a server, beyond those being executed. */
    private static final double MAX_QUEUED_PER_SLOT = 1;

    private ServerPicker() {}

    /**
     * A server that may be chosen.
     *
     * @param incarnationId incarnation of the server, see {@code ServerEntry.incarnationId()}
     * @param slots requests that the server can execute at the same time
     * @param local whether the server is in the data centre of this daemon
     * @param tried whether this request has already been sent to the server
     */
    public record Candidate(
            String incarnationId, ServerLoad load, int slots, boolean local, boolean tried) {
        /** Rejects nulls. */
        public Candidate {
            checkNotNull(incarnationId);
            checkNotNull(load);
        }
    }

    /**
     * Returns the server to send the request to, or empty if no candidate can take it now. Takes a
     * token of the chosen server if that is cold.
     *
     * @param remainingGoalNanos time left until the latency goal of the request
     * @param coldRequestsPerSecond rate at which this daemon may send to a cold server
     */
    public static Optional<Candidate> pick(
            List<Candidate> candidates,
            long remainingGoalNanos,
            double coldRequestsPerSecond,
            long nowNanos,
            Random random) {
        Candidate best = null;
        double bestScore = Double.MAX_VALUE;
        double goalNanos = Math.max(remainingGoalNanos, 100_000_000L);
        for (Candidate candidate : candidates) {
            ServerLoad load = candidate.load();
            boolean full =
                    load.expectedLoad(nowNanos) >= candidate.slots() * (1 + MAX_QUEUED_PER_SLOT);
            if (full || load.isSuspect(nowNanos)) {
                continue;
            }
            double score =
                    load.expectedResponseNanos(nowNanos) / goalNanos
                            + (candidate.local() ? 0 : REMOTE_PENALTY)
                            + load.failureRate() * FAILURE_PENALTY
                            + (candidate.tried() ? TRIED_PENALTY : 0);
            score *= 1 + JITTER * random.nextDouble();
            if (score < bestScore && load.canAdmit(coldRequestsPerSecond, nowNanos)) {
                best = candidate;
                bestScore = score;
            }
        }
        // Only the chosen server gives up a token; comparing the candidates takes none.
        if (best != null) {
            best.load().tryAdmit(coldRequestsPerSecond, nowNanos);
        }
        return Optional.ofNullable(best);
    }
}

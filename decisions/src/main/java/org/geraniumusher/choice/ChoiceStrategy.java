package org.geraniumusher.choice;

import java.util.List;
import java.util.random.RandomGenerator;

/** Chooses one of several servers for a request to an unkeyed service. */
public enum ChoiceStrategy {
    /** Any server, with equal chance. */
    RANDOM {
        @Override
        ServerView choose(List<ServerView> servers, ChoiceContext context) {
            return any(servers, context.random());
        }
    },
    /** Each server in turn. */
    ROUND_ROBIN {
        @Override
        ServerView choose(List<ServerView> servers, ChoiceContext context) {
            return servers.get(Math.floorMod(context.turn(), servers.size()));
        }
    },
    /** The server with the fewest requests in flight through this daemon. */
    LEAST_REQUESTS {
        @Override
        ServerView choose(List<ServerView> servers, ChoiceContext context) {
            ServerView best = null;
            int ties = 0;
            for (ServerView server : servers) {
                if (best == null || server.inFlight() < best.inFlight()) {
                    best = server;
                    ties = 1;
                } else if (server.inFlight() == best.inFlight()) {
                    ties++;
                    best = context.random().nextInt(ties) == 0 ? server : best;
                }
            }
            return best;
        }
    },
    /** The one of two random servers with fewer requests in flight through this daemon. */
    POWER_OF_TWO {
        @Override
        ServerView choose(List<ServerView> servers, ChoiceContext context) {
            ServerView first = any(servers, context.random());
            ServerView second = other(servers, first, context.random());
            return second.inFlight() < first.inFlight() ? second : first;
        }
    },
    /**
     * The one of two random servers that would probably answer first, by load per usable slot and
     * latency. Two random ones, not the best of all, because daemons that share a stale figure
     * would all choose the same best server. A straggler is taken only with its weight as chance,
     * as the first one, for an idempotent request, which a hedge can rescue, and while it is idle
     * as far as is known; then it is taken at once, so that its return is noticed.
     */
    TWO_CHOICES_LATENCY {
        @Override
        ServerView choose(List<ServerView> servers, ChoiceContext context) {
            ServerView first = any(servers, context.random());
            if (first.weight() < 1 && isProbe(first, context)) {
                return first;
            }
            first = first.weight() < 1 ? normal(servers, first, context.random()) : first;
            ServerView second = normal(servers, first, context.random());
            return better(first, second, context.nowNanos());
        }
    };

    private static final int MAX_DRAWS = 16;
    private static final double MAX_PROBED_UTILISATION = 0.5;
    private static final double TIE = 1e-9;

    /** Returns one of {@code servers}, which are not empty. */
    abstract ServerView choose(List<ServerView> servers, ChoiceContext context);

    private static ServerView any(List<ServerView> servers, RandomGenerator random) {
        return servers.get(random.nextInt(servers.size()));
    }

    /** Returns a random server other than {@code first}, or {@code first} when it is the only. */
    private static ServerView other(
            List<ServerView> servers, ServerView first, RandomGenerator random) {
        if (servers.size() == 1) {
            return first;
        }
        ServerView server = any(servers, random);
        while (server == first) {
            server = any(servers, random);
        }
        return server;
    }

    /** Returns a random server other than {@code first} that is no straggler, if one is found. */
    private static ServerView normal(
            List<ServerView> servers, ServerView first, RandomGenerator random) {
        ServerView server = other(servers, first, random);
        for (int i = 0; i < MAX_DRAWS && server.weight() < 1; i++) {
            server = other(servers, first, random);
        }
        return server;
    }

    private static boolean isProbe(ServerView straggler, ChoiceContext context) {
        return context.idempotent()
                && straggler.inFlight() == 0
                && straggler.utilisation(context.nowNanos()) <= MAX_PROBED_UTILISATION
                && context.random().nextDouble() < straggler.weight();
    }

    private static ServerView better(ServerView a, ServerView b, long now) {
        double costOfA = cost(a, b, now);
        double costOfB = cost(b, a, now);
        if (Math.abs(costOfA - costOfB) > TIE * costOfA) {
            return costOfA < costOfB ? a : b;
        }
        double reportOfA = a.reportedLoad(now);
        double reportOfB = b.reportedLoad(now);
        boolean known = reportOfA >= 0 && reportOfB >= 0;
        return known && reportOfB < reportOfA ? b : a;
    }

    /** Multiplies load per slot and latency; a server without a latency takes its rival's. */
    private static double cost(ServerView server, ServerView rival, long now) {
        double latency = server.latencyNanos(now);
        if (latency == 0) {
            latency = Math.max(1, rival.latencyNanos(now));
        }
        return server.utilisation(now) * latency;
    }
}

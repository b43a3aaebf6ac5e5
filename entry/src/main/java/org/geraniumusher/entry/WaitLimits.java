package org.geraniumusher.entry;

import java.util.Random;

/**
 * Limits the time for which requests wait for a server, and spreads the retries of the callers
 * whose requests are rejected. Stateless.
 */
final class WaitLimits {
    /**
     * Fraction of its latency goal for which a request may wait; the rest is left for its execution
     * by the server.
     */
    private static final double MAX_WAIT_FRACTION = 0.5;

    /**
     * Fraction of its latency goal for which a request may wait if it arrives when the goal is
     * nearly over. The same time is left before the deadline.
     */
    private static final double LATE_WAIT_FRACTION = 0.25;

    /** Minimum delay before the caller's retry, as a fraction of the latency goal. */
    private static final double MIN_RETRY_AFTER_FRACTION = 0.3;

    /**
     * Maximum random addition to that delay, as a fraction of the latency goal, which keeps callers
     * from retrying at the same time.
     */
    private static final double RETRY_AFTER_JITTER_FRACTION = 0.5;

    private WaitLimits() {}

    /**
     * Reports whether the request has waited so long that it is unlikely to be answered in time.
     */
    static boolean hasWaitedTooLong(Exchange exchange, long now) {
        return remainingWaitNanos(exchange, now) <= 0;
    }

    /** Returns for how long the request may still wait; negative if it has waited too long. */
    static long remainingWaitNanos(Exchange exchange, long now) {
        long goalNanos = exchange.latencyGoalNanos();
        long lateWaitNanos = (long) (goalNanos * LATE_WAIT_FRACTION);
        long latestNanos =
                Math.max(
                        exchange.goalAtNanos() - (long) (goalNanos * (1 - MAX_WAIT_FRACTION)),
                        exchange.arrivedAtNanos() + lateWaitNanos);
        return Math.min(latestNanos, exchange.deadlineAtNanos() - lateWaitNanos) - now;
    }

    /** Returns a random delay, in seconds, after which the caller may retry the request. */
    static double retryAfterSeconds(Exchange exchange, Random random) {
        double goalSeconds = exchange.latencyGoalNanos() / 1e9;
        return goalSeconds
                * (MIN_RETRY_AFTER_FRACTION + RETRY_AFTER_JITTER_FRACTION * random.nextDouble());
    }
}

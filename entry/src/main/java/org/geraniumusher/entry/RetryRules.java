package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.retry.RetryBudget;

import java.util.function.IntSupplier;

/**
 * Decides whether a request is sent again. Confined to the event loop.
 *
 * <p>Invariant: a request that a server may have executed is retried only if its route is
 * idempotent, and within the budget of its service.
 */
final class RetryRules {
    /** Maximum number of sends of one request, including those that were not executed. */
    private static final int MAX_SENDS = 6;

    private final RetryBudgets mBudgets;
    private final CrashMonitor mCrashMonitor;
    private final IntSupplier mDaemonCount;

    /**
     * Creates rules with full budgets.
     *
     * @param daemonCount returns the number of daemons, which share the slack of a budget
     */
    RetryRules(EntrySettings settings, CrashMonitor crashMonitor, IntSupplier daemonCount) {
        mBudgets = new RetryBudgets(settings);
        mCrashMonitor = checkNotNull(crashMonitor);
        mDaemonCount = checkNotNull(daemonCount);
    }

    /** Adds the share of a new request to the budget of its service. */
    void onRequest(Exchange exchange) {
        budgetOf(exchange).deposit();
    }

    /** Returns whether the request may be sent once more, as far as the number of sends goes. */
    boolean hasSendsLeft(Exchange exchange) {
        return exchange.sendCount() < MAX_SENDS;
    }

    /** Takes a retry of the request from the budget; returns whether there was one. */
    boolean tryWithdraw(Exchange exchange) {
        return budgetOf(exchange).tryWithdraw();
    }

    private RetryBudget budgetOf(Exchange exchange) {
        return mBudgets.of(exchange.service(), mDaemonCount.getAsInt());
    }

    /**
     * Takes a retry of a request that a server may have executed from the budget; returns false if
     * it must not be retried, or there is none.
     */
    boolean tryRetry(Exchange exchange, long nowNanos) {
        return exchange.route().kind().mayRepeat()
                && exchange.triedIncarnations().size() < exchange.route().attempts()
                && hasSendsLeft(exchange)
                && !WaitLimits.hasWaitedTooLong(exchange, nowNanos)
                && mCrashMonitor.mayRetry(exchange)
                && tryWithdraw(exchange);
    }
}

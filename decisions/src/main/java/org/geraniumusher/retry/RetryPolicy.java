package org.geraniumusher.retry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.model.ResultCode;

/**
 * Decides whether a failed request is sent again, for one service in one daemon.
 *
 * <p>Invariants: a non-idempotent request is sent again only when none of its attempts can have
 * run; nothing is sent again past its deadline; what the answer to the caller says about execution
 * covers all attempts. Waiting for a new owner is not paid from the budget, since a planned move
 * must lose no request. Repeated attempts back off. Not thread-safe.
 */
public final class RetryPolicy {
    private static final int MAX_SENT = 3;
    private static final long DELAY_NANOS = 10_000_000;
    private static final int MAX_DOUBLINGS = 3;

    private final RetryMode mMode;
    private final RetryBudget mBudget;

    private RetryPolicy(RetryMode mode, RetryBudget budget) {
        mMode = mode;
        mBudget = budget;
    }

    /** Returns a policy that pays from {@code budget}, which hedges may share. */
    public static RetryPolicy create(RetryMode mode, RetryBudget budget) {
        return new RetryPolicy(checkNotNull(mode, "mode"), checkNotNull(budget, "budget"));
    }

    /** Counts the first sending of a caller's request. */
    public void requestArrived() {
        mBudget.deposit();
    }

    /** Decides what follows {@code failure}; {@code attempt} includes the failed sending. */
    public RetryVerdict failed(Attempt attempt, Failure failure, long nowNanos) {
        boolean mayHaveRun = attempt.mayHaveRun() || !failure.certainlyNotRun();
        ResultCode code = attempt.mayHaveRun() ? ResultCode.OUTCOME_UNKNOWN : failure.code();
        RetryVerdict giveUp = new RetryVerdict.GiveUp(code);
        if (mayHaveRun && !attempt.idempotent()) {
            return giveUp;
        }
        long delay = delayNanos(attempt.sent(), failure);
        if (attempt.deadlineNanos() - nowNanos <= delay || !permits(attempt, failure)) {
            return giveUp;
        }
        return new RetryVerdict.Resend(delay);
    }

    private boolean permits(Attempt attempt, Failure failure) {
        if (failure == Failure.NOT_OWNER) {
            return mMode != RetryMode.NONE;
        }
        boolean limited = mMode == RetryMode.BUDGET && attempt.sent() >= MAX_SENT;
        return !limited && mMode.permits(mBudget);
    }

    /** Returns 10 ms, doubling to 80 ms; none before another server is tried for the first time. */
    private static long delayNanos(int sent, Failure failure) {
        int delays = failure == Failure.NOT_OWNER ? sent : sent - 1;
        return delays == 0 ? 0 : DELAY_NANOS << Math.min(delays - 1, MAX_DOUBLINGS);
    }
}

package org.geraniumusher.retry;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a fraction of the callers' requests with a token bucket.
 *
 * <p>Invariant: the number of withdrawals is at most {@code retryRatio} times the number of
 * deposits at any time, since the bucket starts empty. The capacity limits the burst of retries
 * after a period without any. Not thread-safe.
 */
public final class RetryBudget {
    private final double mRetryRatio;
    private final double mCapacity;
    private double mTokens;

    private RetryBudget(double retryRatio, double capacity) {
        mRetryRatio = retryRatio;
        mCapacity = capacity;
    }

    /**
     * Creates an empty budget.
     *
     * @param retryRatio retries allowed per request of a caller, from 0 to 1
     * @param capacity maximum number of retries that can be saved up, at least 1
     */
    public static RetryBudget create(double retryRatio, double capacity) {
        checkArgument(
                retryRatio >= 0 && retryRatio <= 1,
                "retryRatio is not between 0 and 1: %s",
                retryRatio);
        checkArgument(capacity >= 1, "capacity is less than 1: %s", capacity);
        return new RetryBudget(retryRatio, capacity);
    }

    /** Adds the retries allowed for one request of a caller. */
    public void deposit() {
        mTokens = Math.min(mCapacity, mTokens + mRetryRatio);
    }

    /** Takes one retry from the budget; returns false if less than one is left. */
    public boolean tryWithdraw() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}

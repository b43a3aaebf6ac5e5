package org.geraniumusher.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against hedges of non-idempotent requests, without budget, and on busy servers. */
class HedgePolicyTest {
    private static final long MILLI = 1_000_000;

    private final RetryBudget mBudget = RetryBudget.create();

    private HedgePolicy observed(RetryMode mode) {
        HedgePolicy policy = HedgePolicy.create(mode, mBudget, 0);
        for (int i = 0; i < 640; i++) {
            policy.answered((1 + i % 100) * MILLI, 0);
        }
        return policy;
    }

    @Test
    void delayNanos_observed_isNinetyFifthPercentile() {
        long delay = observed(RetryMode.BUDGET).delayNanos(true).orElseThrow();
        assertThat(delay / MILLI).isAtLeast(93);
        assertThat(delay / MILLI).isAtMost(97);
    }

    @Test
    void delayNanos_nonIdempotentOrNotBudgetOrUnknown_never() {
        assertThat(observed(RetryMode.BUDGET).delayNanos(false).isEmpty()).isTrue();
        assertThat(observed(RetryMode.UNLIMITED).delayNanos(true).isEmpty()).isTrue();
        HedgePolicy fresh = HedgePolicy.create(RetryMode.BUDGET, mBudget, 0);
        assertThat(fresh.delayNanos(true).isEmpty()).isTrue();
    }

    @Test
    void delayNanos_latencyFell_followsWithinTwoPeriods() {
        HedgePolicy policy = observed(RetryMode.BUDGET);
        for (int i = 1; i <= 3_000; i++) {
            policy.answered(6 * MILLI, i * MILLI);
        }
        assertThat(policy.delayNanos(true).orElseThrow()).isLessThan(7 * MILLI);
    }

    @Test
    void permits_budgetEmptyOrBusy_refused() {
        HedgePolicy policy = observed(RetryMode.BUDGET);
        assertThat(policy.permits(0.5)).isFalse();
        for (int i = 0; i < 20; i++) {
            mBudget.deposit();
        }
        assertThat(policy.permits(0.95)).isFalse();
        assertThat(policy.permits(0.5)).isTrue();
        assertThat(policy.permits(0.5)).isTrue();
        assertThat(policy.permits(0.5)).isFalse();
    }
}

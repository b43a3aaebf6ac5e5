package org.geraniumusher.retry;

import static com.google.common.truth.Truth.assertThat;

import org.geraniumusher.model.ResultCode;
import org.geraniumusher.retry.RetryVerdict.GiveUp;
import org.geraniumusher.retry.RetryVerdict.Resend;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a second execution of a non-idempotent request, and against retry storms. */
class RetryPolicyTest {
    private static final long MILLI = 1_000_000;
    private static final long DEADLINE = 100 * MILLI;

    private static RetryPolicy policy(RetryMode mode) {
        RetryBudget budget = RetryBudget.create();
        RetryPolicy policy = RetryPolicy.create(mode, budget);
        for (int i = 0; i < 100; i++) {
            policy.requestArrived();
        }
        return policy;
    }

    private static Attempt attempt(boolean idempotent, int sent, boolean mayHaveRun) {
        return new Attempt(idempotent, sent, mayHaveRun, DEADLINE);
    }

    @ParameterizedTest
    @EnumSource(Failure.class)
    void failed_nonIdempotent_resentOnlyWhenCertainlyNotRun(Failure failure) {
        RetryVerdict verdict =
                policy(RetryMode.UNLIMITED).failed(attempt(false, 1, false), failure, 0);
        boolean lost = failure == Failure.CONNECTION_LOST || failure == Failure.TIMED_OUT;
        assertThat(verdict instanceof Resend).isEqualTo(!lost);
    }

    @Test
    void failed_nonIdempotentEarlierAttemptMayHaveRun_outcomeUnknown() {
        RetryVerdict verdict =
                policy(RetryMode.UNLIMITED)
                        .failed(attempt(false, 2, true), Failure.CONNECT_FAILED, 0);
        assertThat(verdict).isEqualTo(new GiveUp(ResultCode.OUTCOME_UNKNOWN));
    }

    @Test
    void failed_idempotentEarlierAttemptMayHaveRun_neverToldNotRun() {
        RetryVerdict verdict =
                policy(RetryMode.NONE).failed(attempt(true, 2, true), Failure.GATE_FULL, 0);
        assertThat(verdict).isEqualTo(new GiveUp(ResultCode.OUTCOME_UNKNOWN));
    }

    @Test
    void failed_idempotentConnectionLost_resent() {
        assertThat(
                        policy(RetryMode.BUDGET)
                                .failed(attempt(true, 1, false), Failure.CONNECTION_LOST, 0))
                .isEqualTo(new Resend(0));
    }

    @Test
    void failed_deadlinePassed_givesUp() {
        assertThat(
                        policy(RetryMode.UNLIMITED)
                                .failed(attempt(true, 1, false), Failure.GATE_FULL, DEADLINE))
                .isEqualTo(new GiveUp(ResultCode.OVERLOADED));
    }

    @Test
    void failed_lastingOverload_tenPercentResent() {
        RetryPolicy policy = RetryPolicy.create(RetryMode.BUDGET, RetryBudget.create());
        int resent = 0;
        for (int i = 0; i < 10_000; i++) {
            policy.requestArrived();
            RetryVerdict verdict = policy.failed(attempt(true, 1, false), Failure.GATE_FULL, 0);
            resent += verdict instanceof Resend ? 1 : 0;
            assertThat(resent).isAtMost((i + 1) / 10);
        }
        assertThat(resent).isAtLeast(990);
    }

    @Test
    void failed_budgetMode_atMostThreeSendings() {
        assertThat(policy(RetryMode.BUDGET).failed(attempt(true, 3, false), Failure.GATE_FULL, 0))
                .isInstanceOf(GiveUp.class);
    }

    @Test
    void failed_notOwner_backsOffToEightyMillisWithoutBudget() {
        RetryPolicy policy = RetryPolicy.create(RetryMode.BUDGET, RetryBudget.create());
        long[] delays = {10, 20, 40, 80, 80};
        for (int i = 0; i < delays.length; i++) {
            assertThat(policy.failed(attempt(false, i + 1, false), Failure.NOT_OWNER, 0))
                    .isEqualTo(new Resend(delays[i] * MILLI));
        }
    }

    @Test
    void failed_secondRefusal_backsOff() {
        RetryPolicy policy = policy(RetryMode.UNLIMITED);
        assertThat(policy.failed(attempt(true, 1, false), Failure.GATE_FULL, 0))
                .isEqualTo(new Resend(0));
        assertThat(policy.failed(attempt(true, 3, false), Failure.GATE_FULL, 0))
                .isEqualTo(new Resend(20 * MILLI));
    }

    @Test
    void deposit_longQuiet_burstIsLimited() {
        RetryBudget budget = RetryBudget.create(0.1, 5);
        for (int i = 0; i < 10_000; i++) {
            budget.deposit();
        }
        int taken = 0;
        while (budget.tryWithdraw()) {
            taken++;
        }
        assertThat(taken).isEqualTo(5);
    }
}

package org.geraniumusher.experiments;

import org.geraniumusher.admission.WarmUp;
import org.geraniumusher.choice.ChoiceStrategy;
import org.geraniumusher.retry.RetryMode;

/** Combines the decision modules: the router's own policy and the baselines of section 1.2. */
enum Policy {
    ROUTER("router", ChoiceStrategy.TWO_CHOICES_LATENCY, RetryMode.BUDGET, WarmUp.BY_WORK),
    RANDOM("random", ChoiceStrategy.RANDOM, RetryMode.UNLIMITED, WarmUp.NONE),
    ROUND_ROBIN("round robin", ChoiceStrategy.ROUND_ROBIN, RetryMode.UNLIMITED, WarmUp.NONE),
    LEAST_REQUESTS(
            "least requests", ChoiceStrategy.LEAST_REQUESTS, RetryMode.UNLIMITED, WarmUp.NONE);

    private final String mTitle;
    private final ChoiceStrategy mChoice;
    private final RetryMode mRetry;
    private final WarmUp mWarmUp;

    Policy(String title, ChoiceStrategy choice, RetryMode retry, WarmUp warmUp) {
        mTitle = title;
        mChoice = choice;
        mRetry = retry;
        mWarmUp = warmUp;
    }

    String title() {
        return mTitle;
    }

    ChoiceStrategy choice() {
        return mChoice;
    }

    RetryMode retry() {
        return mRetry;
    }

    WarmUp warmUp() {
        return mWarmUp;
    }

    boolean handlesStragglers() {
        return this == ROUTER;
    }
}

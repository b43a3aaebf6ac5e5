package org.geraniumusher.retry;

/** Selects how many requests may be sent again. */
public enum RetryMode {
    /** None; a baseline for measurements only. */
    NONE {
        @Override
        boolean permits(RetryBudget budget) {
            return false;
        }
    },
    /** All until the deadline; a baseline for measurements only. */
    UNLIMITED {
        @Override
        boolean permits(RetryBudget budget) {
            return true;
        }
    },
    /** As many as the retry budget pays for. */
    BUDGET {
        @Override
        boolean permits(RetryBudget budget) {
            return budget.tryWithdraw();
        }
    };

    /** Returns whether one more request may be sent; takes it from the budget if so. */
    abstract boolean permits(RetryBudget budget);
}

package org.geraniumusher.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import org.geraniumusher.retry.RetryBudget;

import java.util.HashMap;
import java.util.Map;

/**
 * The retry budget of each service. Confined to the event loop.
 *
 * <p>Invariant: the daemons share the retry ratio and the retry slack, and none knows how much the
 * others use, so each uses a fraction of them.
 */
final class RetryBudgets {
    private static final double RATIO_FRACTION_USED = 0.7;
    private static final double SLACK_FRACTION_USED = 0.5;
    private static final double MIN_CAPACITY = 2;

    private final EntrySettings mSettings;
    private final Map<String, RetryBudget> mBudgets = new HashMap<>();

    RetryBudgets(EntrySettings settings) {
        mSettings = checkNotNull(settings);
    }

    /**
     * Returns the budget of a service. One that exists keeps its capacity.
     *
     * @param daemonCount number of daemons that share the slack
     */
    RetryBudget of(String service, int daemonCount) {
        return mBudgets.computeIfAbsent(
                service,
                s ->
                        RetryBudget.create(
                                mSettings.retryRatio() * RATIO_FRACTION_USED,
                                Math.max(
                                        MIN_CAPACITY,
                                        SLACK_FRACTION_USED
                                                * mSettings.retrySlack()
                                                / daemonCount)));
    }
}

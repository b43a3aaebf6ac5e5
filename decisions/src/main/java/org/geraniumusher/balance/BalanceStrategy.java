package org.geraniumusher.balance;

/**
 * Decides how slices are spread over servers. Both strategies obey the same rules about churn and
 * differ in what they count. Stateless and thread-safe.
 */
public enum BalanceStrategy {
    /** Evens out the number of slices per server; the baseline. */
    EVEN_COUNT {
        @Override
        double weight(SliceLoad slice) {
            return 1;
        }

        @Override
        double capacity(ServerCapacity server) {
            return 1;
        }
    },
    /** Evens out the measured load per slot. */
    LOAD {
        @Override
        double weight(SliceLoad slice) {
            return slice.requestsPerSecond() + IDLE_LOAD;
        }

        @Override
        double capacity(ServerCapacity server) {
            return server.usableSlots();
        }
    };

    /** Load of an idle slice, so that slices that are not measured yet are spread by count. */
    private static final double IDLE_LOAD = 0.01;

    /** Returns the moves to start now. The same input gives the same plan. */
    public BalancePlan plan(BalanceInput input) {
        return new Planner(this, input).plan();
    }

    /** Returns what a slice counts. */
    abstract double weight(SliceLoad slice);

    /** Returns the share of the total that a server shall have, in any unit. */
    abstract double capacity(ServerCapacity server);
}

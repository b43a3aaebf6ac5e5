package org.geraniumusher.experiments;

import com.google.common.collect.ImmutableList;

/**
 * Holds the sizes of a deployment of section 1.3 of the design. Immutable and thread-safe.
 *
 * @param hopNanos one way between data centres
 * @param clientNanos one way between client and daemon
 */
record Deployment(
        String name,
        int daemons,
        int dataCentres,
        long hopNanos,
        long clientNanos,
        ImmutableList<ServiceSize> services) {
    static final Deployment VATULELE =
            new Deployment(
                    "Vatulele",
                    11,
                    3,
                    500_000,
                    3_000_000,
                    ImmutableList.of(
                            new ServiceSize("catalogue", 20, true),
                            new ServiceSize("firing", 13, false)));

    static final Deployment BALTIC_WILLOW =
            new Deployment(
                    "Baltic Willow",
                    11,
                    3,
                    1_400_000,
                    1_000_000,
                    ImmutableList.of(
                            new ServiceSize("cleft-register", 18, true),
                            new ServiceSize("kiln-ledger", 12, false)));

    /** Holds the size of one service. */
    record ServiceSize(String name, int servers, boolean keyed) {}
}

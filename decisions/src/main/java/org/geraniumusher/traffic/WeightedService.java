package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * A service that gets a part of the requests of a route. Immutable.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route
 */
public record WeightedService(String service, double weight) {
    /** Rejects a weight that is negative or not finite. */
    public WeightedService {
        checkNotNull(service);
        checkArgument(
                weight >= 0 && Double.isFinite(weight),
                "weight is negative or not finite: %s",
                weight);
    }
}

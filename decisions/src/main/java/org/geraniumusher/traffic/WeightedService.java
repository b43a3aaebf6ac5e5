package org.geraniumusher.traffic;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Names a service that takes a share of a route. Immutable.
 *
 * @param weight share relative to the other parts of the route
 */
public record WeightedService(String service, double weight) {
    /** Refuses a weight that is negative or not finite. */
    public WeightedService {
        checkNotNull(service);
        checkArgument(weight >= 0 && Double.isFinite(weight), "bad weight: %s", weight);
    }
}

package org.lacewingthread.core.serving;

import org.lacewingthread.core.id.ServiceId;

/**
 * A service of a route with its weight.
 *
 * @param service service that receives the share
 * @param weight share relative to the weights of the route's other services; not negative
 */
public record WeightedService(ServiceId service, double weight) {
    /** Checks that the service is present and the weight is finite and not negative. */
    public WeightedService {
        if (service == null) {
            throw new IllegalArgumentException("part of a route lacks its service");
        }
        if (!(weight >= 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException(
                    "weight " + weight + " of service \"" + service + "\" is not valid; use a number of 0 or more");
        }
    }
}

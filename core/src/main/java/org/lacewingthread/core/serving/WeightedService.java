package org.lacewingthread.core.serving;

import org.lacewingthread.core.id.ServiceId;

/**
 * A service's part of a route.
 *
 * @param service the service
 * @param weight its share relative to the other parts; not negative
 */
public record WeightedService(ServiceId service, double weight) {
    /** Checks the weight. */
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

package org.lacewingthread.core.serving;

import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;

/**
 * One version of the serving configuration: routes, services and caller limits.
 *
 * @param version version number, increased by each change
 * @param routes routes of all hosts
 * @param services services by id
 * @param limits limits for callers
 */
public record ServingConfiguration(
        long version, List<Route> routes, Map<ServiceId, ServiceSpec> services, CallerLimits limits) {
    /** Copies the collections. */
    public ServingConfiguration {
        routes = List.copyOf(routes);
        services = Map.copyOf(services);
    }
}

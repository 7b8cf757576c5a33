package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lacewingthread.core.dispatch.ConnectionShares;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.RouteTable;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.serving.WeightedRoundRobin;

/** Routes and services of the newest configuration. All methods run on the traffic thread. */
final class ActiveRoutes {
    private final WeightedRoundRobin splitChooser = new WeightedRoundRobin();
    private Optional<ServingConfiguration> configuration = Optional.empty();
    private RouteTable routes = new RouteTable(List.of());
    private OptionalInt entryVmCount = OptionalInt.empty();

    void apply(ServingConfiguration newest) {
        configuration = Optional.of(newest);
        routes = new RouteTable(newest.routes());
    }

    void onEntryVmCount(int count) {
        entryVmCount = OptionalInt.of(count);
    }

    /** Returns the version of the newest configuration; empty until one has been read. */
    OptionalLong version() {
        return configuration.map(known -> OptionalLong.of(known.version())).orElse(OptionalLong.empty());
    }

    Optional<Route> findRoute(String host, String target) {
        return routes.find(host, target);
    }

    /** Returns the service that takes the next request of a route, by the weights of the route's services. */
    ServiceId nextService(Route route) {
        return splitChooser.next(route);
    }

    /** Returns whether each key of a service is owned by exactly one server. */
    boolean isKeyed(ServiceId service) {
        return configuration
                .map(known -> known.services().get(service))
                .map(ServiceSpec::keyed)
                .orElse(false);
    }

    /**
     * Returns how many connections this entry VM may hold to each server of a service. The map is empty until the
     * configuration and the number of entry VMs are known.
     */
    Map<ServiceId, Integer> connectionLimits() {
        return configuration.isEmpty() || entryVmCount.isEmpty()
                ? Map.of()
                : ConnectionShares.limits(configuration.get().services().values(), entryVmCount.getAsInt());
    }
}

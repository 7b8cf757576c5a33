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
import org.lacewingthread.core.serving.SplitChooser;

/** What the newest configuration says about a request. Runs on the traffic thread. */
final class RoutingConfiguration {
    private final SplitChooser splitChooser = new SplitChooser();
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

    /** Returns the version in force; empty until one is known. */
    OptionalLong version() {
        return configuration.map(known -> OptionalLong.of(known.version())).orElse(OptionalLong.empty());
    }

    Optional<Route> findRoute(String host, String target) {
        return routes.find(host, target);
    }

    /** Returns the service of a route's next request. */
    ServiceId nextService(Route route) {
        return splitChooser.next(route);
    }

    /** Tells whether each key of a service has one owning server. */
    boolean isKeyed(ServiceId service) {
        return configuration
                .map(known -> known.services().get(service))
                .map(ServiceSpec::keyed)
                .orElse(false);
    }

    /** Returns this VM's share of the servers' connections; empty until the number of entry VMs is known. */
    Map<ServiceId, Integer> connectionLimits() {
        return configuration.isEmpty() || entryVmCount.isEmpty()
                ? Map.of()
                : ConnectionShares.limits(configuration.get().services().values(), entryVmCount.getAsInt());
    }
}

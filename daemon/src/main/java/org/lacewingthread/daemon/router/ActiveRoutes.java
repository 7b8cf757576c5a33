package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.lacewingthread.core.dispatch.ConnectionShares;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.RouteResolution;
import org.lacewingthread.core.serving.RouteTable;
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

    /**
     * Returns route and service of a request, which counts as the next one of the route's split.
     *
     * @param key key of the request; empty if it has no valid one
     */
    RouteResolution resolve(String host, String target, OptionalInt key) {
        return RouteResolution.resolve(configuration, routes, host, target, key, splitChooser::next);
    }

    /** Returns route and service as {@link #resolve} would, without counting a request. */
    RouteResolution preview(String host, String target, OptionalInt key) {
        return RouteResolution.resolve(configuration, routes, host, target, key, splitChooser::peek);
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

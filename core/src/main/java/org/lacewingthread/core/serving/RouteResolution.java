package org.lacewingthread.core.serving;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.traffic.ResultCode;

/**
 * Route, service and key of a request, as far as they were found.
 *
 * @param route route; empty if there is none
 * @param service service that takes the request; empty without a route
 * @param keyed whether each key of the service has one owner
 * @param key key that counts; empty if the service has no keys, or the request none
 * @param failure code with which the request is refused; empty if it is complete
 */
public record RouteResolution(
        Optional<Route> route,
        Optional<ServiceId> service,
        boolean keyed,
        OptionalInt key,
        Optional<ResultCode> failure) {
    /**
     * Resolves a request.
     *
     * @param configuration newest configuration; empty until one has been read
     * @param routes table of the configuration's routes
     * @param host value of the Host header
     * @param target request target
     * @param key key of the request; empty if it has no valid one
     * @param split returns the service that takes the next request of a route
     */
    public static RouteResolution resolve(
            Optional<ServingConfiguration> configuration,
            RouteTable routes,
            String host,
            String target,
            OptionalInt key,
            Function<Route, ServiceId> split) {
        if (configuration.isEmpty()) {
            return unrouted(ResultCode.NOT_READY);
        }
        Optional<Route> route = routes.find(host, target);
        if (route.isEmpty()) {
            return unrouted(ResultCode.NO_SELECTOR);
        }
        ServiceId service = split.apply(route.get());
        ServiceSpec spec = configuration.get().services().get(service);
        boolean keyed = spec != null && spec.keyed();
        return new RouteResolution(
                route,
                Optional.of(service),
                keyed,
                keyed ? key : OptionalInt.empty(),
                keyed && key.isEmpty() ? Optional.of(ResultCode.KEY_MISSING) : Optional.empty());
    }

    private static RouteResolution unrouted(ResultCode failure) {
        return new RouteResolution(
                Optional.empty(), Optional.empty(), false, OptionalInt.empty(), Optional.of(failure));
    }
}

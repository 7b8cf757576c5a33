package org.lacewingthread.core.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest matching path
 * prefix.
 *
 * <pre>{@code
 * RouteTable table = new RouteTable(configuration.routes());
 * Optional<Route> route = table.find("shop.example:80", "/orders/17?full=1");
 * }</pre>
 */
public final class RouteTable {
    private final Map<String, List<Route>> routesByHost = new HashMap<>();

    /** Creates a table that indexes routes by host, longest path prefix first. */
    public RouteTable(List<Route> routes) {
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(normalizeHost(route.host()), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst = Comparator.comparingInt(
                        (Route route) -> route.pathPrefix().length())
                .reversed();
        routesByHost.values().forEach(candidates -> candidates.sort(longestFirst));
    }

    /**
     * Returns the route of a request, or empty if none matches.
     *
     * @param host value of the Host header; a port is ignored
     * @param target request target; a query is ignored
     */
    public Optional<Route> find(String host, String target) {
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        return routesByHost.getOrDefault(normalizeHost(host), List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    private static String normalizeHost(String host) {
        int port = host.lastIndexOf(':');
        return (port < 0 ? host : host.substring(0, port)).toLowerCase(Locale.ROOT);
    }
}

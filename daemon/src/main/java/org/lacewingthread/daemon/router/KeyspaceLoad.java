package org.lacewingthread.daemon.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.KeyLoad;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** Estimates load by key and the capacity of the servers, for the leader. All methods run on the control thread. */
final class KeyspaceLoad {
    /** Load that one request adds to its key; only the ratio to other loads matters. */
    private static final double REQUEST_COST = 100;
    /** Weight of the newest measurement in the exponential moving average of a server's service time. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Limits of a server's speed relative to the mean, so that a few measurements can't distort its capacity. */
    private static final double MIN_RELATIVE_SPEED = 0.2;

    private static final double MAX_RELATIVE_SPEED = 1.8;
    /** Capacity of a server that has just started, relative to a warmed-up one. */
    private static final double COLD_CAPACITY_RATIO = 0.6;

    /** Share of a server's limit up to which it is given load; requests come unevenly. */
    private static final double LIMIT_UTILIZATION = 0.7;
    /** Capacity of a server whose limit leaves it almost none; loads are divided by it. */
    private static final double MIN_CAPACITY = 0.01;

    private static final int MAX_MEASURED_SERVERS = 1_000;
    /** Time for which a view is used again while the servers and their limits are the same. */
    private static final long VIEW_VALIDITY_MILLIS = 100;

    private final Map<ServiceId, KeyLoad> keyLoadByService = new HashMap<>();
    private final Map<ServiceId, CachedView> viewByService = new HashMap<>();
    private final Map<ServerStart, Double> serviceMillisByServer = new HashMap<>();

    /** A view with what it was made from. */
    private record CachedView(
            List<KnownServer> servers, Map<ServerStart, Double> limits, long madeMillis, ServiceView view) {
        boolean isValid(List<KnownServer> newServers, Map<ServerStart, Double> newLimits, long nowMillis) {
            return servers == newServers && limits.equals(newLimits) && nowMillis - madeMillis < VIEW_VALIDITY_MILLIS;
        }
    }

    /** Records a request for a key. */
    void recordKey(ServiceId service, int key, long nowMillis) {
        keyLoadOf(service).add(key, REQUEST_COST, nowMillis);
    }

    /** Records the service time of a server, as measured by one entry VM. */
    void recordServiceTime(ServerStart server, double millis) {
        if (serviceMillisByServer.size() < MAX_MEASURED_SERVERS || serviceMillisByServer.containsKey(server)) {
            serviceMillisByServer.merge(
                    server, millis, (average, newest) -> average + SMOOTHING_FACTOR * (newest - average));
        }
    }

    /**
     * Returns the capacity of a service's servers and the load of its keys. A server with a limit has no more capacity
     * than its limit, so that its keys move to others. A view may be up to 100 ms old, since making one takes a pass over
     * all servers and requests.
     *
     * @param servers known servers; another list object counts as a change
     * @param limitPerSecondByServer limits that servers named, or that they have while they are cold
     */
    ServiceView view(
            ServiceId service,
            List<KnownServer> servers,
            Map<ServerStart, Double> limitPerSecondByServer,
            long nowMillis) {
        CachedView cached = viewByService.get(service);
        if (cached == null || !cached.isValid(servers, limitPerSecondByServer, nowMillis)) {
            ServiceView view = makeView(service, servers, limitPerSecondByServer, nowMillis);
            cached = new CachedView(servers, Map.copyOf(limitPerSecondByServer), nowMillis, view);
            viewByService.put(service, cached);
        }
        return cached.view();
    }

    private ServiceView makeView(
            ServiceId service,
            List<KnownServer> servers,
            Map<ServerStart, Double> limitPerSecondByServer,
            long nowMillis) {
        List<KnownServer> serviceServers = servers.stream()
                .filter(server -> server.entry().service().equals(service))
                .toList();
        double meanMillis = serviceServers.stream()
                .filter(server -> serviceMillisByServer.containsKey(server.start()))
                .mapToDouble(server -> serviceMillisByServer.get(server.start()))
                .average()
                .orElse(1);
        Map<ServerStart, Double> capacityByServer = new TreeMap<>();
        Set<ServerStart> registered = new HashSet<>();
        for (KnownServer server : serviceServers) {
            boolean departed = !server.isReady() && !server.entry().draining() && !server.evacuated();
            if (!departed) {
                registered.add(server.start());
            }
            if (server.isReady()) {
                capacityByServer.put(server.start(), capacity(server, meanMillis));
            }
        }
        KeyLoad.Profile load = keyLoadOf(service).profile(nowMillis);
        applyLimits(capacityByServer, limitPerSecondByServer, keyLoadOf(service).samplesPerSecond(nowMillis));
        return new ServiceView(capacityByServer, registered, load);
    }

    /** Reduces the capacities of limited servers, so that their part of the load is below their limit. */
    private static void applyLimits(
            Map<ServerStart, Double> capacityByServer,
            Map<ServerStart, Double> limitPerSecondByServer,
            double requestsPerSecond) {
        double total = capacityByServer.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        if (requestsPerSecond <= 0) {
            return;
        }
        double capacityPerRequest = total / requestsPerSecond;
        capacityByServer.replaceAll((server, capacity) -> {
            Double limitPerSecond = limitPerSecondByServer.get(server);
            return limitPerSecond == null
                    ? capacity
                    : Math.max(
                            MIN_CAPACITY, Math.min(capacity, limitPerSecond * LIMIT_UTILIZATION * capacityPerRequest));
        });
    }

    private double capacity(KnownServer server, double meanMillis) {
        double speed = meanMillis / serviceMillisByServer.getOrDefault(server.start(), meanMillis);
        double boundedSpeed = Math.max(MIN_RELATIVE_SPEED, Math.min(MAX_RELATIVE_SPEED, speed));
        return server.entry().slots() * boundedSpeed * (server.entry().cold() ? COLD_CAPACITY_RATIO : 1);
    }

    private KeyLoad keyLoadOf(ServiceId service) {
        return keyLoadByService.computeIfAbsent(service, id -> KeyLoad.ofRequests());
    }
}

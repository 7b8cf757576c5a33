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

/** The leader's picture of demand by key and of the servers' capacity. Runs on the control thread. */
final class KeyspaceLoad {
    /** How long samples of key loads count; a hot key shows within a second or two. */
    private static final long LOAD_WINDOW_MILLIS = 6_000;
    /** Load spread over keys without samples; about the cost of a few requests. */
    private static final double BASELINE_LOAD = 2_000;
    /** Cost of a request in the load of keys; only proportions matter. */
    private static final double REQUEST_COST = 100;
    /** Weight of the newest of the entry VMs' measurements in a server's time. */
    private static final double SMOOTHING_FACTOR = 0.2;
    /** Bounds of a server's speed relative to the mean, so that few measurements can't mislead. */
    private static final double MIN_RELATIVE_SPEED = 0.2;

    private static final double MAX_RELATIVE_SPEED = 1.8;
    /** Capacity of a server that has just started, relative to a warm one. */
    private static final double COLD_CAPACITY_RATIO = 0.6;

    private static final int MAX_MEASURED_SERVERS = 1_000;

    private final Map<ServiceId, KeyLoad> keyLoadByService = new HashMap<>();
    private final Map<ServerStart, Double> serviceMillisByServer = new HashMap<>();

    /** Takes a key that was asked for. */
    void recordKey(ServiceId service, int key, long nowMillis) {
        keyLoadOf(service).add(key, REQUEST_COST, nowMillis);
    }

    /** Takes a server's time for a request, as one entry VM measured it. */
    void recordServiceTime(ServerStart server, double millis) {
        if (serviceMillisByServer.size() < MAX_MEASURED_SERVERS || serviceMillisByServer.containsKey(server)) {
            serviceMillisByServer.merge(server, millis, (known, newest) -> known + SMOOTHING_FACTOR * (newest - known));
        }
    }

    /** Returns what the coordinator needs to know about a service. */
    ServiceView view(ServiceId service, List<KnownServer> servers, long nowMillis) {
        List<KnownServer> own = servers.stream()
                .filter(server -> server.entry().service().equals(service))
                .toList();
        double meanMillis = own.stream()
                .filter(server -> serviceMillisByServer.containsKey(server.start()))
                .mapToDouble(server -> serviceMillisByServer.get(server.start()))
                .average()
                .orElse(1);
        Map<ServerStart, Double> capacity = new TreeMap<>();
        Set<ServerStart> registered = new HashSet<>();
        for (KnownServer server : own) {
            boolean departed =
                    server.leavingSinceMillis().isPresent() && !server.entry().draining();
            if (!departed) {
                registered.add(server.start());
            }
            if (server.isReady()) {
                capacity.put(server.start(), capacity(server, meanMillis));
            }
        }
        return new ServiceView(capacity, registered, keyLoadOf(service).profile(nowMillis));
    }

    private double capacity(KnownServer server, double meanMillis) {
        double speed = meanMillis / serviceMillisByServer.getOrDefault(server.start(), meanMillis);
        double bounded = Math.max(MIN_RELATIVE_SPEED, Math.min(MAX_RELATIVE_SPEED, speed));
        return server.entry().slots() * bounded * (server.entry().cold() ? COLD_CAPACITY_RATIO : 1);
    }

    private KeyLoad keyLoadOf(ServiceId service) {
        return keyLoadByService.computeIfAbsent(service, id -> new KeyLoad(LOAD_WINDOW_MILLIS, BASELINE_LOAD));
    }
}

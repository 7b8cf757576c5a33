package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/** The states of the known servers by service, with what they share: limits of this VM, and the service time of new ones. */
final class ServiceServers {
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<ServerStart, ServerLoadState> states;
    private final Map<ServiceId, List<ServerLoadState>> statesByService = new HashMap<>();
    private Map<ServiceId, Integer> connectionLimits = Map.of();
    private int entryVmCount = 1;

    /**
     * Creates the collection.
     *
     * @param states state of each server, which this object updates
     */
    ServiceServers(Map<ServerStart, ServerLoadState> states) {
        this.states = states;
    }

    /** Replaces the known servers; the states of those that stay are kept. */
    void update(List<KnownServer> known) {
        statesByService.clear();
        Map<ServerStart, ServerLoadState> former = new HashMap<>(states);
        states.clear();
        for (KnownServer server : known) {
            ServerLoadState state = former.getOrDefault(server.start(), new ServerLoadState(server));
            state.update(server);
            applyLimits(state);
            states.put(server.start(), state);
            statesByService
                    .computeIfAbsent(server.entry().service(), service -> new ArrayList<>())
                    .add(state);
        }
        statesByService.keySet().forEach(this::assumeServiceTimes);
    }

    /** Returns the states of a service's servers. */
    List<ServerLoadState> of(ServiceId service) {
        return statesByService.getOrDefault(service, List.of());
    }

    /** Lets the servers of a service that are not measured yet have the mean service time of the others, if there are any. */
    void assumeServiceTimes(ServiceId service) {
        List<ServerLoadState> servers = of(service);
        servers.stream()
                .filter(state -> state.answers() > 0)
                .mapToDouble(ServerLoadState::serviceMillis)
                .average()
                .ifPresent(mean -> servers.forEach(state -> state.assumeServiceTime(mean)));
    }

    /** Returns this VM's part of the requests that the servers of a service run each second. */
    double sharePerSecond(ServiceId service) {
        double perMilli = of(service).stream()
                .mapToDouble(state -> state.entry().slots() / state.serviceMillis())
                .sum();
        return perMilli * MILLIS_PER_SECOND / Math.max(1, entryVmCount);
    }

    void setEntryVmCount(int count) {
        entryVmCount = count;
        states.values().forEach(this::applyLimits);
    }

    void setConnectionLimits(Map<ServiceId, Integer> limitByService) {
        connectionLimits = Map.copyOf(limitByService);
        states.values().forEach(this::applyLimits);
    }

    private void applyLimits(ServerLoadState state) {
        state.setEntryVmCount(entryVmCount);
        state.setConnectionLimit(connectionLimits.getOrDefault(state.entry().service(), Integer.MAX_VALUE));
    }
}

package org.lacewingthread.core.keyrange;

import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * The servers and the load of one keyed service, as the leader sees them.
 *
 * @param capacityByServer servers that may own keys, with their capacity relative to each other
 * @param registered servers that have an entry in the registry, ready or not
 * @param load load of the service's key space
 */
public record ServiceView(
        Map<ServerStart, Double> capacityByServer, Set<ServerStart> registered, KeyLoad.Profile load) {
    /** Copies the collections. */
    public ServiceView {
        capacityByServer = Map.copyOf(capacityByServer);
        registered = Set.copyOf(registered);
    }
}

package org.lacewingthread.core.keyrange;

import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * What a leader knows about the servers of one keyed service.
 *
 * @param capacityByServer servers that may own keys, with their relative capacity
 * @param registered lives of servers that the registry names, ready or not
 * @param load load of the key space
 */
public record ServiceView(
        Map<ServerStart, Double> capacityByServer, Set<ServerStart> registered, KeyLoad.Profile load) {
    /** Copies the collections. */
    public ServiceView {
        capacityByServer = Map.copyOf(capacityByServer);
        registered = Set.copyOf(registered);
    }
}

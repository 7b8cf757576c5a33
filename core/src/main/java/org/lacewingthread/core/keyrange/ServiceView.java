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
 * @param leavingLater leaving servers whose ranges are not to move yet
 * @param closed leaving servers that get no grants and no releases any more
 */
public record ServiceView(
        Map<ServerStart, Double> capacityByServer,
        Set<ServerStart> registered,
        KeyLoad.Profile load,
        Set<ServerStart> leavingLater,
        Set<ServerStart> closed) {
    /** Copies the collections. */
    public ServiceView {
        capacityByServer = Map.copyOf(capacityByServer);
        registered = Set.copyOf(registered);
        leavingLater = Set.copyOf(leavingLater);
        closed = Set.copyOf(closed);
    }

    /** Creates a view without servers in evacuated data centres. */
    public ServiceView(Map<ServerStart, Double> capacityByServer, Set<ServerStart> registered, KeyLoad.Profile load) {
        this(capacityByServer, registered, load, Set.of(), Set.of());
    }

    /** Returns the same view with servers in evacuated data centres. */
    public ServiceView withEvacuated(Set<ServerStart> leavingLaterServers, Set<ServerStart> closedServers) {
        return new ServiceView(capacityByServer, registered, load, leavingLaterServers, closedServers);
    }
}

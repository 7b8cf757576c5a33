package org.lacewingthread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.ServiceSpec;

/**
 * Divides a server's connection limit among the entry VMs, so that together they stay below the
 * number above which the server resets connections.
 *
 * <pre>{@code
 * dispatcher.onConnectionLimits(ConnectionShares.limits(configuration.services().values(), 12));
 * }</pre>
 */
public final class ConnectionShares {
    /** Share of a server's connections that is allocated; the rest is left for server orders and restarts. */
    private static final double ALLOCATED_RATIO = 0.9;

    private ConnectionShares() {}

    /**
     * Returns how many connections one entry VM may open to each server of a service, at least one.
     *
     * @param entryVmCount number of entry VMs that share the servers, including this one
     * @throws IllegalArgumentException if {@code entryVmCount} is below one
     */
    public static Map<ServiceId, Integer> limits(Collection<ServiceSpec> services, int entryVmCount) {
        if (entryVmCount < 1) {
            throw new IllegalArgumentException(entryVmCount + " entry VMs can't share connections; count this one too");
        }
        Map<ServiceId, Integer> limits = new HashMap<>();
        for (ServiceSpec service : services) {
            int share = (int) (service.maxConnections() * ALLOCATED_RATIO / entryVmCount);
            limits.put(service.id(), Math.max(1, share));
        }
        return limits;
    }
}

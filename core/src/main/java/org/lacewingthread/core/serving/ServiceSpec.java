package org.lacewingthread.core.serving;

import org.lacewingthread.core.id.ServiceId;

/**
 * Configuration of a service.
 *
 * @param id id of the service
 * @param healthPath path that health probes request
 * @param maxConnections connections that one server accepts from all entry VMs in total
 * @param keyed whether each key has one owning server; otherwise any server can run any request
 */
public record ServiceSpec(ServiceId id, String healthPath, int maxConnections, boolean keyed) {
    /** Checks that the connection limit is positive. */
    public ServiceSpec {
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service \"" + id + "\" allows " + maxConnections + " connections; allow 1 or more");
        }
    }
}

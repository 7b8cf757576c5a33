package org.lacewingthread.core.serving;

import org.lacewingthread.core.id.ServiceId;

/**
 * A service as operators configure it.
 *
 * @param id the service
 * @param healthPath path of the health probe
 * @param maxConnections connections that one server accepts from all entry VMs together
 * @param keyed whether each key has one owning server; otherwise any server may run any request
 */
public record ServiceSpec(ServiceId id, String healthPath, int maxConnections, boolean keyed) {
    /** Checks the connection limit. */
    public ServiceSpec {
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service \"" + id + "\" allows " + maxConnections + " connections; allow 1 or more");
        }
    }
}

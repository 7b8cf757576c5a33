package org.lacewingthread.core.serving;

import java.util.OptionalDouble;
import org.lacewingthread.core.id.ServiceId;

/**
 * Configuration of a service.
 *
 * @param id id of the service
 * @param healthPath path that health probes request
 * @param maxConnections connections that one server accepts from all entry VMs in total
 * @param keyed whether each key has one owning server; otherwise any server can run any request
 * @param coldPerSecond requests a second that a cold server tolerates from all entry VMs, as the operators state it: it may
 *     be 0, negative, or NaN if it is not a number; empty if they state none
 */
public record ServiceSpec(
        ServiceId id, String healthPath, int maxConnections, boolean keyed, OptionalDouble coldPerSecond) {
    /** Checks that the connection limit is positive. */
    public ServiceSpec {
        if (maxConnections < 1) {
            throw new IllegalArgumentException(
                    "service \"" + id + "\" allows " + maxConnections + " connections; allow 1 or more");
        }
    }

    /** Creates the configuration of a service without a rate for cold servers. */
    public ServiceSpec(ServiceId id, String healthPath, int maxConnections, boolean keyed) {
        this(id, healthPath, maxConnections, keyed, OptionalDouble.empty());
    }
}

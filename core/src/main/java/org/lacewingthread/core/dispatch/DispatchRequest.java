package org.lacewingthread.core.dispatch;

import java.util.OptionalInt;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;

/**
 * A request to be assigned to a server.
 *
 * @param number unique number of the request within this process
 * @param service service that runs the request
 * @param key key, present if each key of the service has one owning server
 * @param priority priority; 0 is the most urgent
 * @param targetAtMillis time up to which a response meets the target latency
 * @param deadlineMillis time after which a response is of no use
 * @param triedServers servers that earlier attempts were sent to
 */
public record DispatchRequest(
        long number,
        ServiceId service,
        OptionalInt key,
        int priority,
        long targetAtMillis,
        long deadlineMillis,
        Set<ServerId> triedServers) {
    /** Copies the set of tried servers. */
    public DispatchRequest {
        triedServers = Set.copyOf(triedServers);
    }
}

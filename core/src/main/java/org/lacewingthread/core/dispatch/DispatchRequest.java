package org.lacewingthread.core.dispatch;

import java.util.OptionalInt;
import java.util.Set;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;

/**
 * A request that looks for a server.
 *
 * @param number identifies the request within this process
 * @param service service that is to run it
 * @param key its key, if the service's servers own keys
 * @param priority rank; 0 is the most urgent
 * @param targetAtMillis when an answer stops being prompt
 * @param deadlineMillis when an answer stops being of use
 * @param triedServers servers that it was sent to already
 */
public record DispatchRequest(
        long number,
        ServiceId service,
        OptionalInt key,
        int priority,
        long targetAtMillis,
        long deadlineMillis,
        Set<ServerId> triedServers) {
    /** Copies the avoided servers. */
    public DispatchRequest {
        triedServers = Set.copyOf(triedServers);
    }
}

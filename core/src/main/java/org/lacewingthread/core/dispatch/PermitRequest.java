package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.id.ServerStart;

/**
 * Asks for one request to a server that named a limit.
 *
 * @param number number of the request within the asking process
 * @param server the server
 * @param limit newest limit that the server named to the asking entry VM
 * @param namedAgoMillis time since it did
 * @param priority priority of the request; 0 is the most urgent
 */
public record PermitRequest(long number, ServerStart server, NamedLimit limit, long namedAgoMillis, int priority) {
    /** Checks that the limit was not named in the future. */
    public PermitRequest {
        if (namedAgoMillis < 0) {
            throw new IllegalArgumentException("limit of server \"" + server + "\" named " + namedAgoMillis
                    + " ms ago is in the future; use 0 or more");
        }
    }
}

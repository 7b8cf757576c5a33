package org.lacewingthread.core.dispatch;

import org.lacewingthread.core.id.ServerStart;

/**
 * Asks for one request to a limited server.
 *
 * @param number number of the request within the asking process
 * @param server the server
 * @param limit newest limit that the server named to the asking entry VM, or the rate that it tolerates while it is cold
 * @param namedAgoMillis time since the server named it; 0 if it is cold
 * @param priority priority of the request; 0 is the most urgent
 * @param kind where the limit comes from
 */
public record PermitRequest(
        long number, ServerStart server, NamedLimit limit, long namedAgoMillis, int priority, LimitKind kind) {
    /** Checks that the limit was not named in the future. */
    public PermitRequest {
        if (namedAgoMillis < 0) {
            throw new IllegalArgumentException("limit of server \"" + server + "\" named " + namedAgoMillis
                    + " ms ago is in the future; use 0 or more");
        }
    }

    /** Creates a request for a server that named a limit. */
    public PermitRequest(long number, ServerStart server, NamedLimit limit, long namedAgoMillis, int priority) {
        this(number, server, limit, namedAgoMillis, priority, LimitKind.NAMED);
    }
}

package org.lacewingthread.daemon.router;

import java.util.List;

/**
 * Names of the HTTP headers that the router reads or sets.
 *
 * @param requestId id of one attempt of a caller; servers return it in their response
 * @param deadlineMillis how long the sender still waits, in milliseconds
 * @param serverSeal proof that a response was created by a server
 * @param expectedServer id of the server that the request is meant for; no other server runs it
 * @param respondingServer id of the server that sent the response
 * @param serverLoad running requests, queued requests and slots of a server
 * @param serverLimits names of the header with the number of requests a second that a server takes from all entry VMs
 *     together; the first one that is present counts
 * @param notExecuted present in a response if the server did not run the request
 * @param rest seconds for which a server that turned a request away wants none of this entry VM
 * @param leaving {@value #LEAVING} in the responses of a server that leaves
 * @param coldMillis milliseconds for which the server stays cold
 * @param key numeric key of the request
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String serverSeal,
        String expectedServer,
        String respondingServer,
        String serverLoad,
        List<String> serverLimits,
        String notExecuted,
        String rest,
        String leaving,
        String coldMillis,
        String key) {
    /** Value that tells that a server leaves. */
    public static final String LEAVING = "1";

    /** Copies the list. */
    public HeaderNames {
        serverLimits = List.copyOf(serverLimits);
    }
}

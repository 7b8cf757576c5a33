package org.lacewingthread.daemon.router;

/**
 * Names of the headers that the router reads or sets.
 *
 * @param requestId id of one attempt of a caller; servers return it
 * @param deadlineMillis milliseconds that the sender still waits
 * @param serverSeal proof that a server made the answer
 * @param expectedServer id of the only server that may run the request
 * @param respondingServer id of the server that answers
 * @param serverLoad running requests, waiting requests and slots of a server
 * @param notExecuted present if the server did not run the request
 * @param key numeric key of the request
 */
public record HeaderNames(
        String requestId,
        String deadlineMillis,
        String serverSeal,
        String expectedServer,
        String respondingServer,
        String serverLoad,
        String notExecuted,
        String key) {}

package org.lacewingthread.bench;

import java.util.Map;
import java.util.function.Consumer;

/**
 * A request and the time at which it should be sent.
 *
 * @param kind name of the kind of request
 * @param method HTTP method
 * @param path path and query; unique, so that an answer to another request can be recognised
 * @param headers header fields
 * @param intendedNanos intended send time by {@link System#nanoTime()}; latency counts from here
 * @param timeoutMillis maximum time to wait for the answer after sending
 * @param onOutcome receives the outcome on an I/O thread
 */
record PlannedRequest(
        String kind,
        String method,
        String path,
        Map<String, String> headers,
        long intendedNanos,
        int timeoutMillis,
        Consumer<Outcome> onOutcome) {
    /**
     * Outcome of a request.
     *
     * @param code result code of the answer, HTTP status, or name of the failure
     * @param success whether a complete answer reports that the request was executed
     * @param matchesRequest false if the answer belongs to another request
     * @param latencyMicros time from the intended send time to the end of the answer
     */
    record Outcome(String code, boolean success, boolean matchesRequest, long latencyMicros) {}
}

package org.lacewingthread.bench;

import java.util.Map;
import java.util.function.Consumer;

/**
 * A request with the time at which it is to be sent.
 *
 * @param kind name of its kind
 * @param method HTTP method
 * @param path path with query; unique, so that another request's answer can be told
 * @param headers header fields
 * @param intendedNanos when it is to be sent; its latency counts from here
 * @param timeoutMillis how long its answer is waited for after it was sent
 * @param onOutcome takes its outcome on an I/O thread
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
     * What became of a request.
     *
     * @param code result number or HTTP status, or what failed
     * @param success whether a whole answer says that it ran
     * @param ownAnswer false if the answer is that to another request
     * @param latencyMicros time from its intended sending to the end of the answer
     */
    record Outcome(String code, boolean success, boolean ownAnswer, long latencyMicros) {}
}

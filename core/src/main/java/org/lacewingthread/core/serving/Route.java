package org.lacewingthread.core.serving;

import java.util.List;

/**
 * Route from a host and path prefix to the services that handle its requests.
 *
 * @param name name that the operator gave the route
 * @param host host name that callers use, without port
 * @param pathPrefix path prefix that begins and ends with a slash
 * @param repeatability whether a request of this route may run more than once
 * @param timeoutMillis maximum time until a caller gets a response
 * @param targetLatencyMillis latency up to which a response counts as prompt
 * @param priority priority; 0 is the most urgent
 * @param maxAttempts maximum number of servers that one request may be sent to
 * @param parts services with their weights; requests are split among them
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        Repeatability repeatability,
        long timeoutMillis,
        long targetLatencyMillis,
        int priority,
        int maxAttempts,
        List<WeightedService> parts) {
    /** Checks the path prefix, times, attempts and parts. */
    public Route {
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("path prefix \"" + pathPrefix + "\" of route \"" + name
                    + "\" is not valid; begin and end it with a slash");
        }
        if (timeoutMillis <= 0 || targetLatencyMillis <= 0) {
            throw new IllegalArgumentException("route \"" + name + "\" has a timeout of " + timeoutMillis
                    + " ms and a target latency of " + targetLatencyMillis + " ms; both must be positive");
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException(
                    "route \"" + name + "\" allows " + maxAttempts + " attempts; allow 1 or more");
        }
        if (parts.isEmpty()) {
            throw new IllegalArgumentException("route \"" + name + "\" names no service");
        }
        parts = List.copyOf(parts);
    }

    /** Returns the time up to which the response to a request is prompt. */
    public long targetAtMillis(long arrivedMillis, long deadlineMillis) {
        return Math.min(deadlineMillis, arrivedMillis + targetLatencyMillis);
    }
}

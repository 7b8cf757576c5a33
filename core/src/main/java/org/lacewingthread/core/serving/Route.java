package org.lacewingthread.core.serving;

import java.util.List;

/**
 * Sends the requests of one host and path prefix to services.
 *
 * @param name operator's name of the route
 * @param host host as callers name it, without port
 * @param pathPrefix begins and ends with a slash
 * @param repeatability whether a request may run more than once
 * @param timeoutMillis longest time a caller is kept waiting
 * @param targetLatencyMillis latency within which an answer is worth most
 * @param priority rank; 0 is the most urgent
 * @param maxAttempts most servers that one request may be sent to
 * @param parts services with their weights; more than one splits the requests
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
    /** Checks prefix, times and parts. */
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
}

package org.lacewingthread.core.serving;

/**
 * Bounds on what callers may send and how long they may take.
 *
 * @param maxHeaderBytes largest request line and headers
 * @param maxBodyBytes largest body
 * @param headerTimeoutMillis longest time from the first byte of a request to the end of its headers
 * @param idleTimeoutMillis longest time that a connection may stay without a request
 */
public record CallerLimits(int maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits until a configuration is known. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L << 20, 3_000, 15_000);

    /** Checks that all limits are positive. */
    public CallerLimits {
        if (maxHeaderBytes <= 0 || maxBodyBytes <= 0 || headerTimeoutMillis <= 0 || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("limits of " + maxHeaderBytes + " header bytes, " + maxBodyBytes
                    + " body bytes, " + headerTimeoutMillis + " ms for headers and " + idleTimeoutMillis
                    + " ms idle must all be positive");
        }
    }
}

package org.lacewingthread.core.serving;

import java.util.OptionalLong;

/**
 * Limits on the size of callers' requests and on the time they may take.
 *
 * @param maxHeaderBytes maximum size of request line and headers
 * @param maxBodyBytes maximum size of a body
 * @param headerTimeoutMillis maximum time from the first byte of a request to the end of its headers; no limit if empty
 * @param idleTimeoutMillis maximum time that a connection may stay open without a request
 */
public record CallerLimits(
        int maxHeaderBytes, long maxBodyBytes, OptionalLong headerTimeoutMillis, long idleTimeoutMillis) {
    /** Limits that apply until a configuration is received. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 64L << 20, OptionalLong.empty(), 15_000);

    /** Checks that all limits are positive. */
    public CallerLimits {
        if (maxHeaderBytes <= 0 || maxBodyBytes <= 0 || headerTimeoutMillis.orElse(1) <= 0 || idleTimeoutMillis <= 0) {
            throw new IllegalArgumentException("limits of " + maxHeaderBytes + " header bytes, " + maxBodyBytes
                    + " body bytes, " + headerTimeoutMillis + " ms for headers and " + idleTimeoutMillis
                    + " ms idle must all be positive");
        }
    }
}

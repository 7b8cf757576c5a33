package org.lacewingthread.daemon.platform;

/**
 * An HTTP response that has been read completely into memory.
 *
 * @param status HTTP status code
 * @param retryAfter value of the Retry-After header, or null if absent
 * @param body response body; must not be modified
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedHttpResponse(int status, String retryAfter, byte[] body) {}

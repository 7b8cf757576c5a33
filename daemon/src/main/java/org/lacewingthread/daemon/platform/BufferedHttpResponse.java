package org.lacewingthread.daemon.platform;

/**
 * A whole HTTP answer.
 *
 * @param status its status
 * @param retryAfter its Retry-After header, or null
 * @param body its body
 */
@SuppressWarnings("ArrayRecordComponent")
public record BufferedHttpResponse(int status, String retryAfter, byte[] body) {}

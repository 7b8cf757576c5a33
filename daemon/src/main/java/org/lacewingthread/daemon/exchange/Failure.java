package org.lacewingthread.daemon.exchange;

import org.lacewingthread.core.traffic.ResultCode;

/**
 * Reports why a request has no complete response.
 *
 * @param code result code sent to the caller; never one of a completed request
 * @param retryAfterMillis delay in milliseconds after which a retry may succeed, or 0 if none is suggested
 * @param detail description of the failure, shown to the caller; contains no stack trace
 */
public record Failure(ResultCode code, long retryAfterMillis, String detail) {
    /** Rejects the code of a completed request with {@link IllegalArgumentException}. */
    public Failure {
        if (code.knowledge() == ResultCode.Knowledge.DONE) {
            throw new IllegalArgumentException("result code " + code + " does not describe a failure");
        }
    }
}

package org.lacewingthread.daemon.exchange;

import org.lacewingthread.core.traffic.ResultCode;

/**
 * Why a request has no whole answer.
 *
 * @param code numbered result
 * @param retryAfterMillis when to come back, or 0 if there is nothing to wait for
 * @param detail what failed, for the caller; no stack traces
 */
public record Failure(ResultCode code, long retryAfterMillis, String detail) {
    /** Checks that the code is one of a failure. */
    public Failure {
        if (code.knowledge() == ResultCode.Knowledge.DONE) {
            throw new IllegalArgumentException(code + " is not a failure");
        }
    }
}

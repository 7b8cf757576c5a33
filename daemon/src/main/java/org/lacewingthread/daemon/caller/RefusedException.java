package org.lacewingthread.daemon.caller;

import org.lacewingthread.core.traffic.ResultCode;

/** Thrown if a caller's request is refused before any of it is passed to the router. */
final class RefusedException extends Exception {
    private final ResultCode code;

    RefusedException(ResultCode code, String message) {
        super(message, null, false, false);
        this.code = code;
    }

    ResultCode code() {
        return code;
    }
}

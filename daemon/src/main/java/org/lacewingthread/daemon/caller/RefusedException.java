package org.lacewingthread.daemon.caller;

import org.lacewingthread.core.traffic.ResultCode;

/** A caller's request can't be accepted; nothing of it was passed on. */
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

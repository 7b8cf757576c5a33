package org.lacewingthread.daemon.demo;

import org.lacewingthread.core.traffic.ResultCode;

/**
 * One attempt at a request of the demo, as its caller saw it.
 *
 * @param request request that was sent
 * @param vm name of the entry VM that it was sent to
 * @param sentMillis time at which it was sent, on the clock of {@link DemoCallers#nowMillis}
 * @param endMillis time at which it was answered or failed
 * @param knowledge what the caller knows about whether the request ran
 * @param code number of the result code, or 0 if there was no answer
 * @param bodyMatches whether the body of a successful answer names the path of this request
 */
record Attempt(
        DemoRequest request,
        String vm,
        long sentMillis,
        long endMillis,
        ResultCode.Knowledge knowledge,
        int code,
        boolean bodyMatches) {
    boolean isDone() {
        return knowledge == ResultCode.Knowledge.DONE;
    }
}

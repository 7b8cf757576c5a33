package org.lacewingthread.daemon.demo;

import org.lacewingthread.core.traffic.ResultCode;

/**
 * One request of the demo as its caller saw it.
 *
 * @param request the request
 * @param vm entry VM that it was sent to
 * @param sentMillis when it was sent
 * @param endMillis when it was answered or given up
 * @param knowledge what the answer said about whether the request ran
 * @param code number of the result, or 0 if there was no answer
 * @param bodyMatches whether the body was whole and the answer to this very request
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

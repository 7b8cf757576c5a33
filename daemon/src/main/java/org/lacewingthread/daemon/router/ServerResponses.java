package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.traffic.NotRunStatus;
import org.lacewingthread.daemon.http.FullResponse;

/** Classifies the responses of servers. */
final class ServerResponses {
    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    private ServerResponses() {}

    /**
     * Returns the result of an attempt. A server that promises by the status that it did not run the request, but does
     * not state so in its headers, counts as failed. Unless the server refused the request or failed, a response without
     * its seal counts as {@link AttemptResult#BROKEN}, and so does a success with a content encoding.
     */
    static AttemptResult classify(FullResponse response, HeaderNames names, ServerId expected) {
        if (response.status() == MISDIRECTED) {
            String respondingServer = response.headers().get(names.respondingServer());
            boolean replaced = respondingServer != null && !respondingServer.equals(expected.value());
            return replaced ? AttemptResult.REPLACED : AttemptResult.MISDIRECTED;
        }
        if (response.headers().contains(names.notExecuted())) {
            return AttemptResult.REJECTED;
        }
        boolean sealed = response.headers().contains(names.serverSeal());
        boolean success = response.status() >= FIRST_SUCCESS && response.status() < FIRST_REDIRECT;
        boolean encodedBody = response.headers().contains(HttpHeaderNames.CONTENT_ENCODING);
        if (success) {
            return sealed && !encodedBody ? AttemptResult.ANSWERED : AttemptResult.BROKEN;
        }
        if (response.status() >= FIRST_SERVER_ERROR || NotRunStatus.includes(response.status())) {
            return AttemptResult.SERVER_FAILED;
        }
        return sealed ? AttemptResult.ANSWERED : AttemptResult.BROKEN;
    }
}

package org.lacewingthread.daemon.http;

/** Takes the outcome of one request; exactly one method is called, once. */
public interface ResponseListener {
    /** Takes a whole response. */
    void onResponse(FullResponse response);

    /**
     * Takes a failure.
     *
     * @param sent whether the peer may have got the request
     * @param reason what happened, for logs
     */
    void onFailure(boolean sent, String reason);
}

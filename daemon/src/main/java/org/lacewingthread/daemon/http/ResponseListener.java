package org.lacewingthread.daemon.http;

/**
 * Receives the outcome of one request: exactly one method is called, once, unless the connection is aborted.
 */
public interface ResponseListener {
    /** Receives a complete response. */
    void onResponse(FullResponse response);

    /**
     * Handles a request that got no usable response.
     *
     * @param sent whether the peer may have received the request
     * @param reason description for the log
     */
    void onFailure(boolean sent, String reason);
}

package org.lacewingthread.daemon.intake;

/** Handles requests and connection events of callers. All methods are called on the traffic event loop. */
public interface CallerRequestHandler {
    /** Handles a complete request. */
    void onRequest(CallerRequest request);

    /** Refuses a request on a connection that was accepted after the listener stopped taking requests. */
    void onRequestWhileStopping(CallerRequest request);

    /**
     * Handles the end of a connection before a request on it was answered: the caller disconnected, or the
     * connection was closed after an earlier response.
     */
    void onCallerDisconnected(CallerRequest request);

    /**
     * Records an invalid request, which the connection answers itself.
     *
     * @param status HTTP status of the response
     * @param reason description for the log
     */
    void onInvalidRequest(int status, String reason);

    /**
     * Records a connection failure.
     *
     * @param cause exception that closed the connection
     * @param unanswered number of requests on the connection without a written response
     */
    void onConnectionFailed(Throwable cause, int unanswered);

    /**
     * Records that a connection was closed because there were too many.
     *
     * @param limit number of connections that may be open
     * @param newest whether it was the newest one, because no other was idle
     */
    default void onConnectionLimit(int limit, boolean newest) {}

    /**
     * Records that a response was given up whose caller did not take it.
     *
     * @param bytes bytes of the response
     * @param reason why, by its label
     */
    default void onResponseGivenUp(long bytes, String reason) {}
}

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
}

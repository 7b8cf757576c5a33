package org.lacewingthread.daemon.intake;

/** Takes requests from callers; runs on the traffic thread. */
public interface CallerRequestHandler {
    /** Takes a whole request. */
    void onRequest(CallerRequest request);

    /** Takes in that the caller of an unanswered request has left. */
    void onCallerDisconnected(CallerRequest request);

    /** Takes in a request that is not valid and was answered already. */
    void onInvalidRequest(int status, String reason);

    /** Takes in that a connection broke, and how many of its requests were unanswered. */
    void onConnectionFailed(Throwable cause, int unanswered);
}

package org.lacewingthread.daemon.backend;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.lacewingthread.daemon.exchange.HeaderField;

/**
 * Receives the response to one request sent to a backend server, or its failure. Called only on the I/O
 * thread of the server's connection pool.
 */
public interface BackendResponseHandler {
    /** Returns the permit to send, or empty to cancel. Called right before the first byte is written. */
    Optional<SendPermit> permitSend();

    /**
     * Called with the head of the response after its request id was checked.
     *
     * @param status HTTP status
     * @param headers end-to-end header fields
     */
    void onHead(int status, List<HeaderField> headers);

    /**
     * Called with a part of the response body.
     *
     * @param chunk bytes of the body; not modified afterwards
     * @param consumed to be run, on any thread, once the bytes have been forwarded or dropped
     */
    void onBody(byte[] chunk, Runnable consumed);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called if there is no complete response. The connection was closed if anything was sent on it.
     *
     * @param attempt what is known about the execution of the request
     * @param detail description of the failure
     */
    void onFailed(FailedAttempt attempt, String detail);
}

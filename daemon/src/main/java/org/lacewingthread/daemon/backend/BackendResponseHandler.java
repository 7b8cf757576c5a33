package org.lacewingthread.daemon.backend;

import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.traffic.RetryDecision.Attempt;
import org.lacewingthread.daemon.exchange.HeaderField;

/** Follows one call to a backend server; called on the server's I/O thread only. */
public interface BackendResponseHandler {
    /** Decides right before the first byte is written whether the call may still be sent. */
    Optional<SendPermit> permitSend();

    /**
     * The answer's head; its id was that of the call.
     *
     * @param status HTTP status
     * @param headers end-to-end header fields
     */
    void onHead(int status, List<HeaderField> headers);

    /**
     * Part of the answer's body.
     *
     * @param chunk the bytes; not changed afterwards
     * @param consumed run on any thread once the bytes were passed on
     */
    void onBody(byte[] chunk, Runnable consumed);

    /** The answer is whole. */
    void onEnd();

    /**
     * There is no whole answer, and the connection is closed if anything was sent on it.
     *
     * @param known what is known about the call
     * @param detail what failed
     */
    void onFailed(Attempt known, String detail);
}

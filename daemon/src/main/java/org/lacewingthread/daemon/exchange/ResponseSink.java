package org.lacewingthread.daemon.exchange;

import java.util.List;
import org.lacewingthread.core.traffic.ResponseStatus;

/**
 * Receives one response: either {@link #onFailure} alone; or {@link #onHead}, any number of {@link #onBody},
 * then {@link #onEnd} or {@link #onFailure}. Calls come one at a time, on any thread. A response that
 * fails after its head must be visibly aborted, never ended as if it were complete.
 */
public interface ResponseSink {
    /**
     * Receives the status and header fields sent by the backend server, which ran the request.
     *
     * @param status HTTP status; never one that promises that the request did not run
     * @param headers header fields for the caller
     */
    void onHead(ResponseStatus status, List<HeaderField> headers);

    /**
     * Receives the next part of the body.
     *
     * @param chunk the bytes; not changed afterwards
     * @param consumed must be run once the chunk was passed on; the producer limits the unconsumed bytes to
     *     its flow-control window
     */
    void onBody(byte[] chunk, Runnable consumed);

    /** Ends a complete response. */
    void onEnd();

    /**
     * Ends a complete response.
     *
     * @param passedOn run once nothing of the response waits here any more, also if the connection failed meanwhile
     */
    default void onEnd(Runnable passedOn) {
        onEnd();
        passedOn.run();
    }

    /**
     * Returns whether it is known that nobody waits for the response any more. May look at the connection first, so that
     * requests are cancelled before this returns.
     */
    boolean isAbandoned();

    /** Ends a response that is missing or incomplete. */
    void onFailure(Failure failure);
}

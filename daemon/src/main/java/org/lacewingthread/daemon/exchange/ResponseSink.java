package org.lacewingthread.daemon.exchange;

import java.util.List;

/**
 * Takes one answer: either {@link #onFailure} alone; or {@link #onHead}, any number of {@link #onBody},
 * then {@link #onEnd} or {@link #onFailure}. Calls come one at a time, on any thread. An answer that
 * failed after its head is broken off visibly, never ended as if it were whole.
 */
public interface ResponseSink {
    /**
     * The backend server's status and header fields.
     *
     * @param status HTTP status
     * @param headers header fields for the caller
     */
    void onHead(int status, List<HeaderField> headers);

    /**
     * Part of the body.
     *
     * @param chunk the bytes; not changed afterwards
     * @param consumed run once the bytes were passed on; the producer keeps the bytes that are not
     *     consumed below its window
     */
    void onBody(byte[] chunk, Runnable consumed);

    /** The answer is whole. */
    void onEnd();

    /** There is no whole answer. */
    void onFailure(Failure failure);
}

package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.lacewingthread.core.traffic.ResponseStatus;

/** Sends the response to one request. */
public interface CallerResponder {
    /**
     * Sends the response. Only the first call has an effect.
     *
     * @param status HTTP status, and what is known about whether the request ran
     * @param headers headers, without those for message framing or connection management
     * @param body complete body
     */
    void respond(ResponseStatus status, HttpHeaders headers, ByteBuf body);

    /** Returns whether nobody waits for the response any more; looks at the connection if it was not read of late. */
    boolean hasCallerLeft();

    /** Called when the request is finished, whether it was answered or not; its memory may be counted as free. */
    default void onFinished() {}
}

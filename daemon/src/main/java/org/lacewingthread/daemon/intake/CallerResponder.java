package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/** Where the answer to one request goes. */
public interface CallerResponder {
    /**
     * Answers the request; later calls are ignored.
     *
     * @param status HTTP status
     * @param headers headers without those that frame the body or concern the connection
     * @param body whole body
     */
    void respond(int status, HttpHeaders headers, ByteBuf body);
}

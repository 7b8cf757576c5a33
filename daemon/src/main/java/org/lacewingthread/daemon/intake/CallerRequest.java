package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A whole request of a caller.
 *
 * @param method HTTP method
 * @param target request target as the caller sent it
 * @param headers headers as the caller sent them
 * @param body body without transfer encoding; on the heap, needs no release
 * @param arrivedMillis when its head was read, by the traffic clock
 * @param responder takes the answer
 */
public record CallerRequest(
        String method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long arrivedMillis,
        CallerResponder responder) {}

package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete request from a caller.
 *
 * @param method HTTP method
 * @param target request target as the caller sent it
 * @param headers headers as the caller sent them
 * @param body body with transfer encoding removed; an unpooled heap buffer that need not be released
 * @param arrivedMillis earliest time at which the request head can have arrived if it was read late, and else the time
 *     at which it was read; by the listener's clock
 * @param readMillis time at which the request head was read, by the listener's clock
 * @param responder sends the response
 */
public record CallerRequest(
        String method,
        String target,
        HttpHeaders headers,
        ByteBuf body,
        long arrivedMillis,
        long readMillis,
        CallerResponder responder) {}

package org.lacewingthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A response that arrived whole.
 *
 * @param status HTTP status
 * @param headers headers
 * @param body body without transfer encoding; on the heap, needs no release
 */
public record FullResponse(int status, HttpHeaders headers, ByteBuf body) {}

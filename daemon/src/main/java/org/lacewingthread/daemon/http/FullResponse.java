package org.lacewingthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete response.
 *
 * @param status HTTP status
 * @param headers response headers
 * @param body body with transfer encoding removed; an unpooled heap buffer that need not be released
 */
public record FullResponse(int status, HttpHeaders headers, ByteBuf body) {}

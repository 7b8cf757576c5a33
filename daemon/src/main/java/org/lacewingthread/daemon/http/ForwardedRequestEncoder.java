package org.lacewingthread.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Encodes requests whose targets were decoded byte by byte, so that each byte of the target is forwarded as it came. The
 * encoder of the library would send each byte beyond ASCII as two.
 */
final class ForwardedRequestEncoder extends HttpRequestEncoder {
    private static final int CRLF = '\r' << 8 | '\n';

    @Override
    protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
        out.writeCharSequence(request.method().name(), StandardCharsets.US_ASCII);
        out.writeByte(' ');
        out.writeCharSequence(request.uri(), StandardCharsets.ISO_8859_1);
        out.writeByte(' ');
        out.writeCharSequence(request.protocolVersion().text(), StandardCharsets.US_ASCII);
        out.writeShort(CRLF);
    }
}

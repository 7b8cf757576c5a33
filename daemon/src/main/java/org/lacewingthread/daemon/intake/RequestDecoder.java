package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests and tells how much of a head or trailer was read, before it is complete. Rejects requests that have both
 * Content-Length and Transfer-Encoding, which would allow request smuggling.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_REQUEST_LINE_BYTES = 16_384;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final HeadListener listener;

    /** Is told of the parts of heads and trailers. */
    interface HeadListener {
        /**
         * Called before a head or trailer that the bytes complete is passed on.
         *
         * @param bytes bytes that were read
         * @param lines line ends among them
         */
        void onHeadPart(int bytes, int lines);
    }

    RequestDecoder(int maxHeaderBytes, HeadListener listener) {
        super(MAX_REQUEST_LINE_BYTES, maxHeaderBytes, MAX_CHUNK_BYTES);
        this.listener = listener;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        int from = buffer.readerIndex();
        int messages = out.size();
        super.decode(context, buffer, out);
        int bytes = buffer.readerIndex() - from;
        boolean isBodyOnly = out.size() > messages && !(out.get(messages) instanceof HttpMessage);
        if (bytes > 0 && !isBodyOnly) {
            listener.onHeadPart(bytes, countLineEnds(buffer, from, bytes));
        }
    }

    private static int countLineEnds(ByteBuf buffer, int from, int bytes) {
        int lines = 0;
        int end = from + bytes;
        for (int at = buffer.indexOf(from, end, (byte) '\n'); at >= 0; at = buffer.indexOf(at + 1, end, (byte) '\n')) {
            lines++;
        }
        return lines;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding are set");
    }

    /** Returns the bytes that were received and belong to no line or piece of a body so far. */
    int undecodedBytes() {
        return actualReadableBytes();
    }
}

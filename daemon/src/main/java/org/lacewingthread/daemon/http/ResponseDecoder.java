package org.lacewingthread.daemon.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.util.regex.Pattern;

/** Decodes responses, and only bytes that arrive while one is awaited. */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_STATUS_LINE_BYTES = 16_384;
    private static final int MAX_HEADER_BYTES = 65_536;
    private static final int MAX_CHUNK_BYTES = 65_536;
    private static final int FIRST_FINAL_STATUS = 200;

    /** RFC 9112, section 4: three digits; RFC 9110, section 15: the first one names the class, 1 to 5. */
    private static final Pattern STATUS_CODE = Pattern.compile("[1-5][0-9]{2}");

    private final Expectation expectation;

    /** What a connection awaits. */
    interface Expectation {
        /** Returns whether a response, or the rest of one, is awaited. */
        boolean awaitsResponse();

        /** Returns whether the awaited response has no body whatever its headers say. */
        boolean awaitsHeadOnly();

        /** Called with bytes that arrive while no response is awaited; they are not decoded. */
        void onUnaskedBytes();
    }

    ResponseDecoder(Expectation expectation) {
        super(MAX_STATUS_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
        this.expectation = expectation;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
        if (expectation.awaitsResponse()) {
            super.channelRead(context, bytes);
            return;
        }
        ReferenceCountUtil.release(bytes);
        expectation.onUnaskedBytes();
    }

    /** Rejects a status line whose status is no HTTP status code, which makes the response malformed. */
    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!STATUS_CODE.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException(
                    "\"" + statusLine[1] + "\" is no HTTP status code; expected three digits, 100 to 599");
        }
        return super.createMessage(statusLine);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean isFinal =
                message instanceof HttpResponse response && response.status().code() >= FIRST_FINAL_STATUS;
        return (isFinal && expectation.awaitsHeadOnly()) || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether bytes were read that belong to no message so far. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether a response says where it ends, so that another one can follow it. */
    static boolean isFramed(HttpResponse response) {
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    }
}

package org.lacewingthread.daemon.intake;

import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.daemon.http.RequestFraming;

/**
 * Why a request is refused as soon as its head is read; its connection ends.
 *
 * @param httpStatus HTTP status of the refusal
 * @param reason what is wrong, for the log
 */
record HeadRefusal(int httpStatus, String reason) {
    /** Returns why a request is refused; empty if its body may be read. */
    static Optional<HeadRefusal> of(HttpRequest request, CallerLimits limits) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLarge = cause instanceof TooLongFrameException;
            return Optional.of(new HeadRefusal(tooLarge ? 431 : 400, "malformed request head: " + cause));
        }
        RequestFraming framing = RequestFraming.of(
                request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING),
                request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0);
        if (!framing.isKnown()) {
            return Optional.of(new HeadRefusal(framing.httpStatus(), framing.reason()));
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            return Optional.of(
                    new HeadRefusal(413, "the request body exceeds the limit of " + limits.maxBodyBytes() + " bytes"));
        }
        return Optional.empty();
    }
}

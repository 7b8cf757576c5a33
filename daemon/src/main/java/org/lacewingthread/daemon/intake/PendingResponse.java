package org.lacewingthread.daemon.intake;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.BooleanSupplier;
import org.lacewingthread.core.traffic.ResponseStatus;

/** Response to one request, held until all earlier responses have been written and its caller has taken it. */
final class PendingResponse implements CallerResponder {
    private final boolean headRequest;
    private final UntakenResponse untaken;
    private final Runnable whenReady;
    private final BooleanSupplier callerLeft;
    final boolean keepAlive;
    /** The request; null if an invalid one is answered. */
    CallerRequest request;
    /** What is counted for the request; null if an invalid one is answered. */
    IncomingRequest received;
    /** The response; null until the request is answered. */
    FullHttpResponse response;

    /**
     * Creates a response that is not there yet.
     *
     * @param headRequest whether the body is left out
     * @param keepAlive whether the connection stays open afterwards
     * @param untaken counts the response
     * @param whenReady called when the response may be written
     * @param callerLeft tells whether the caller has left
     */
    PendingResponse(
            boolean headRequest,
            boolean keepAlive,
            UntakenResponse untaken,
            Runnable whenReady,
            BooleanSupplier callerLeft) {
        this.headRequest = headRequest;
        this.keepAlive = keepAlive;
        this.untaken = untaken;
        this.whenReady = whenReady;
        this.callerLeft = callerLeft;
    }

    @Override
    public void respond(ResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (response != null) {
            return;
        }
        onFinished();
        HttpResponseStatus httpStatus = HttpResponseStatus.valueOf(status.httpStatus());
        response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, httpStatus, headRequest ? Unpooled.EMPTY_BUFFER : body.retainedDuplicate());
        response.headers().set(headers);
        if (!httpStatus.equals(HttpResponseStatus.NO_CONTENT) && !httpStatus.equals(HttpResponseStatus.NOT_MODIFIED)) {
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        if (untaken.hold(response)) {
            whenReady.run();
        }
    }

    @Override
    public boolean hasCallerLeft() {
        return callerLeft.getAsBoolean();
    }

    /** Responds to a request that was not read to its end, and therefore never passed on. */
    void reject(int status) {
        respond(ResponseStatus.notRun(status), IncomingRequest.rejectionHeaders(status), Unpooled.EMPTY_BUFFER);
    }

    @Override
    public void onFinished() {
        if (received != null) {
            received.release();
        }
    }

    /** Returns whether the request was passed on and is not answered yet. */
    boolean isUnanswered() {
        return response == null && request != null;
    }

    /** Records that the caller took a part of the response. */
    void onTaken(int bytes) {
        untaken.onTaken(bytes);
    }

    /** Frees what is counted for the response. */
    void release() {
        untaken.release();
    }
}

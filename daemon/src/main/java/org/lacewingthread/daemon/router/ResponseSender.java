package org.lacewingthread.daemon.router;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.intake.CallerRequest;

/**
 * Sends responses to callers that are still connected, logs the end of each request and counts it. All methods run on
 * the traffic thread.
 */
final class ResponseSender {
    private static final double MILLIS_PER_SECOND = 1e3;

    private final HeaderNames headerNames;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final LongSupplier clockMillis;

    ResponseSender(HeaderNames headerNames, EventLog events, RouterMetrics metrics, LongSupplier clockMillis) {
        this.headerNames = headerNames;
        this.events = events;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
    }

    /**
     * Forwards the response of a server that ran the request. One whose status promises that it did not is replaced by a
     * failure of this router without the server's seal.
     */
    void forwardResponse(ActiveRequest request, FullResponse response) {
        if (request.callerDisconnected) {
            return;
        }
        ResponseStatus.ofServer(response.status())
                .ifPresentOrElse(
                        status -> forward(request, status, response), () -> replaceFalsePromise(request, response));
    }

    private void forward(ActiveRequest request, ResponseStatus status, FullResponse response) {
        HttpHeaders headers = new DefaultHttpHeaders();
        RequestHeaders.copyEndToEnd(response.headers(), headers);
        headers.set(headerNames.requestId(), request.requestId);
        if (request.relayedBy.isPresent()) {
            ServerStart server = request.attempt.orElseThrow().decision.server().start();
            RelayReceiver.respond(request.relayedBy.get(), server, status, headers, response.body());
        } else {
            request.callerRequest.responder().respond(status, headers, response.body());
        }
        logRequestEnd(request, ResultCode.DONE, status.httpStatus(), null);
    }

    private void replaceFalsePromise(ActiveRequest request, FullResponse response) {
        metrics.onResponseReplaced(response.status());
        events.write(
                "response.replaced",
                "request",
                request.requestId,
                "server",
                serverOf(request),
                "status",
                response.status(),
                "sealed",
                response.headers().contains(headerNames.serverSeal()));
        fail(
                request,
                ResultCode.SERVER_FAILED,
                0,
                "the server answered " + response.status() + ", but may have run it");
    }

    /**
     * Answers a request that got no usable response. If a server may have run it, a code that states that it did not run is
     * replaced by {@link ResultCode#ANSWER_LOST}.
     *
     * @param retryAfterMillis delay to state in Retry-After, or 0 for the default of the code
     */
    void fail(ActiveRequest request, ResultCode code, long retryAfterMillis, String reason) {
        if (request.callerDisconnected) {
            return;
        }
        if (code.knowledge() == ResultCode.Knowledge.NOT_RUN && request.mayHaveRun()) {
            fail(request, ResultCode.ANSWER_LOST, 0, "no second attempt: " + reason);
            return;
        }
        send(request, code, retryAfterMillis, reason);
        logRequestEnd(request, code, code.httpStatus(), reason);
    }

    private void send(ActiveRequest request, ResultCode code, long retryAfterMillis, String reason) {
        if (request.relayedBy.isPresent()) {
            request.relayedBy.get().onFailure(new Failure(code, retryAfterMillis, reason));
        } else {
            send(request.callerRequest, request.requestId, code, retryAfterMillis);
        }
    }

    /** Refuses a request that could not be routed. */
    void refuseUnrouted(CallerRequest request, String requestId, ResultCode code, String reason) {
        send(request, requestId, code, 0);
        metrics.onAnswer(code, "none", clockMillis.getAsLong() - request.arrivedMillis());
        events.write("request.refused", "request", requestId, "code", code.number(), "reason", reason);
    }

    /** Logs a request whose caller disconnected before it got a response. */
    void logCallerDisconnected(ActiveRequest request) {
        String reason = request.isAtServer()
                ? "the caller disconnected while a server had the request"
                : "the caller disconnected";
        logRequestEnd(request, ResultCode.CANCELLED, ResultCode.CANCELLED.httpStatus(), reason);
    }

    private void send(CallerRequest request, String requestId, ResultCode code, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!requestId.isEmpty()) {
            headers.set(headerNames.requestId(), requestId);
        }
        long delayMillis = retryAfterMillis > 0 ? retryAfterMillis : code.defaultRetryAfterMillis();
        if (delayMillis > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", delayMillis / MILLIS_PER_SECOND));
        }
        String body = code.number() + " " + code.message() + "\n";
        request.responder().respond(code.status(), headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    private void logRequestEnd(ActiveRequest request, ResultCode code, int status, String reason) {
        long elapsedMillis = clockMillis.getAsLong() - request.callerRequest.arrivedMillis();
        long readLateMillis = request.callerRequest.readMillis() - request.callerRequest.arrivedMillis();
        metrics.onAnswer(code, request.route.name(), elapsedMillis);
        events.write(
                "request.ended",
                "request",
                request.requestId,
                "route",
                request.route.name(),
                "service",
                request.service,
                "key",
                request.key.isPresent() ? request.key.getAsInt() : null,
                "code",
                code.number(),
                "status",
                status,
                "elapsed_ms",
                elapsedMillis,
                "read_late_ms",
                readLateMillis > 0 ? readLateMillis : null,
                "until_sent_ms",
                request.lastSentMillis.isPresent()
                        ? request.lastSentMillis.getAsLong() - request.callerRequest.arrivedMillis()
                        : null,
                "server",
                serverOf(request),
                "sends",
                request.sentAttempts,
                "relayed_here",
                request.relayedBy.isPresent() ? true : null,
                "tried",
                request.attemptSummary.length() == 0
                        ? null
                        : request.attemptSummary.toString().trim(),
                "reason",
                reason);
    }

    private static ServerId serverOf(ActiveRequest request) {
        return request.attempt
                .map(attempt -> attempt.decision.server().start().server())
                .orElse(null);
    }
}

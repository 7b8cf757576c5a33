package org.lacewingthread.daemon.router;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.LongSupplier;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.WholeResponse;
import org.lacewingthread.daemon.intake.CallerRequest;

/** Answers callers that are still there, and logs and counts each answer. Runs on the traffic thread. */
final class CallerResponder {
    private static final double MILLIS_PER_SECOND = 1e3;

    private final HeaderNames headerNames;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final LongSupplier clockMillis;

    CallerResponder(HeaderNames names, EventLog events, RouterMetrics metrics, LongSupplier clockMillis) {
        this.headerNames = names;
        this.events = events;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
    }

    /** Passes a server's answer on. */
    void forwardResponse(RoutedRequest call, WholeResponse response) {
        if (call.callerDisconnected) {
            return;
        }
        HttpHeaders headers = new DefaultHttpHeaders();
        RequestHeaders.copyEndToEnd(response.headers(), headers);
        headers.set(headerNames.requestId(), call.requestId);
        call.callerRequest.reply().answer(response.status(), headers, response.body());
        logRequestEnd(call, ResultCode.DONE, response.status(), null);
    }

    /** Refuses a request that has not run. */
    void refuse(RoutedRequest call, ResultCode code, String reason, long retryAfterMillis) {
        if (call.callerDisconnected) {
            return;
        }
        send(call.callerRequest, call.requestId, code, retryAfterMillis);
        logRequestEnd(call, code, code.httpStatus(), reason);
    }

    /** Ends a request whose outcome is not known. */
    void failWithUnknownOutcome(RoutedRequest call, ResultCode code, String reason) {
        if (call.callerDisconnected) {
            return;
        }
        send(call.callerRequest, call.requestId, code, 0);
        logRequestEnd(call, code, code.httpStatus(), reason);
    }

    /** Refuses a request before it has a route. */
    void refuseUnrouted(CallerRequest request, String requestId, ResultCode code, String reason) {
        send(request, requestId, code, 0);
        metrics.onAnswer(code, "none", clockMillis.getAsLong() - request.arrivedMillis());
        events.write("request.refused", "request", requestId, "code", code.number(), "reason", reason);
    }

    /** Logs that a caller left before its answer. */
    void logCallerDisconnected(RoutedRequest call) {
        logRequestEnd(call, ResultCode.CANCELLED, ResultCode.CANCELLED.httpStatus(), "the caller left");
    }

    private void send(CallerRequest request, String requestId, ResultCode code, long retryAfterMillis) {
        HttpHeaders headers = new DefaultHttpHeaders();
        if (!requestId.isEmpty()) {
            headers.set(headerNames.requestId(), requestId);
        }
        if (retryAfterMillis > 0) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterMillis / MILLIS_PER_SECOND));
        }
        String body = code.number() + " " + code.message() + "\n";
        request.reply().answer(code.httpStatus(), headers, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    }

    private void logRequestEnd(RoutedRequest call, ResultCode code, int status, String reason) {
        long elapsedMillis = clockMillis.getAsLong() - call.callerRequest.arrivedMillis();
        metrics.onAnswer(code, call.route.name(), elapsedMillis);
        events.write(
                "request.ended",
                "request",
                call.requestId,
                "route",
                call.route.name(),
                "service",
                call.service,
                "key",
                call.key.isPresent() ? call.key.getAsInt() : null,
                "code",
                code.number(),
                "status",
                status,
                "elapsed_ms",
                elapsedMillis,
                "until_sent_ms",
                call.lastSentMillis.isPresent()
                        ? call.lastSentMillis.getAsLong() - call.callerRequest.arrivedMillis()
                        : null,
                "server",
                call.attempt
                        .map(attempt -> attempt.decision.server().start().server())
                        .orElse(null),
                "sends",
                call.sentAttempts,
                "tried",
                call.attemptSummary.length() == 0
                        ? null
                        : call.attemptSummary.toString().trim(),
                "reason",
                reason);
    }
}

package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.RouteResolution;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.intake.CallerRequest;

/** Finds the route, service and key of a caller's request, and refuses requests that lack one of them. */
final class RequestAdmission {
    /** Subtracted from a caller's deadline, so that the response reaches the caller in time. */
    private static final long RESPONSE_MARGIN_MILLIS = 15;

    private final HeaderNames headerNames;
    private final ActiveRoutes routing;
    private final ResponseSender responder;

    RequestAdmission(HeaderNames headerNames, ActiveRoutes routing, ResponseSender responder) {
        this.headerNames = headerNames;
        this.routing = routing;
        this.responder = responder;
    }

    /**
     * Returns the request with its route, service, key and deadline; empty if it was refused.
     *
     * @param number number that the request gets
     */
    Optional<ActiveRequest> admit(CallerRequest request, long number) {
        String requestId = request.headers().get(headerNames.requestId());
        if (requestId == null || requestId.isEmpty()) {
            return refuse(
                    request, "", ResultCode.MALFORMED_REQUEST, "header " + headerNames.requestId() + " is missing");
        }
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        RouteResolution resolved =
                routing.resolve(host, request.target(), RequestHeaders.parseKey(request.headers(), headerNames.key()));
        if (resolved.failure().isPresent()) {
            ResultCode code = resolved.failure().get();
            return refuse(request, requestId, code, reason(code, host, request.target(), resolved));
        }
        Route route = resolved.route().orElseThrow();
        Optional<Long> waitMillis = RequestHeaders.parseDeadlineMillis(request.headers(), headerNames.deadlineMillis());
        return Optional.of(new ActiveRequest(
                number,
                request,
                requestId,
                route,
                resolved.service().orElseThrow(),
                resolved.key(),
                deadlineMillis(request.readMillis(), waitMillis, route),
                Optional.empty()));
    }

    /** Refuses a request that arrived too late for this process. */
    void refuseWhileStopping(CallerRequest request) {
        String requestId = Optional.ofNullable(request.headers().get(headerNames.requestId()))
                .orElse("");
        refuse(request, requestId, ResultCode.NOT_READY, "this VM is stopping");
    }

    private String reason(ResultCode code, String host, String target, RouteResolution resolved) {
        return switch (code) {
            case NOT_READY -> "no configuration has been read yet";
            case NO_SELECTOR -> "no route for host \"" + host + "\" and target \"" + target
                    + "\" in configuration version " + routing.version().getAsLong();
            default -> "header " + headerNames.key() + " is missing or not a valid key, which service \""
                    + resolved.service().orElseThrow() + "\" requires";
        };
    }

    /**
     * Returns the end of a caller's wait or of the route's timeout, whichever is earlier.
     *
     * @param callerWaitMillis how long the caller waits; empty if it doesn't say
     */
    static long deadlineMillis(long readMillis, Optional<Long> callerWaitMillis, Route route) {
        long waitMillis = callerWaitMillis
                .map(millis -> Math.max(1, millis - RESPONSE_MARGIN_MILLIS))
                .orElse(route.timeoutMillis());
        return readMillis + Math.min(waitMillis, route.timeoutMillis());
    }

    private Optional<ActiveRequest> refuse(CallerRequest request, String requestId, ResultCode code, String reason) {
        responder.refuseUnrouted(request, requestId, code, reason);
        return Optional.empty();
    }
}

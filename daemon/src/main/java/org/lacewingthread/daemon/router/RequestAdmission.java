package org.lacewingthread.daemon.router;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.OptionalInt;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Route;
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
        if (routing.version().isEmpty()) {
            return refuse(request, requestId, ResultCode.NOT_READY, "no configuration has been read yet");
        }
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        Optional<Route> route = routing.findRoute(host, request.target());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    requestId,
                    ResultCode.NO_SELECTOR,
                    "no route for host \"" + host + "\" and target \"" + request.target()
                            + "\" in configuration version " + routing.version().getAsLong());
        }
        ServiceId service = routing.nextService(route.get());
        OptionalInt key = routing.isKeyed(service)
                ? RequestHeaders.parseKey(request.headers(), headerNames.key())
                : OptionalInt.empty();
        if (routing.isKeyed(service) && key.isEmpty()) {
            return refuse(
                    request,
                    requestId,
                    ResultCode.KEY_MISSING,
                    "header " + headerNames.key() + " is missing or not a valid key, which service \"" + service
                            + "\" requires");
        }
        return Optional.of(new ActiveRequest(
                number,
                request,
                requestId,
                route.get(),
                service,
                key,
                deadlineMillis(request, route.get()),
                Optional.empty()));
    }

    /** Refuses a request that arrived too late for this process. */
    void refuseWhileStopping(CallerRequest request) {
        String requestId = Optional.ofNullable(request.headers().get(headerNames.requestId()))
                .orElse("");
        refuse(request, requestId, ResultCode.NOT_READY, "this VM is stopping");
    }

    private long deadlineMillis(CallerRequest request, Route route) {
        long waitMillis = RequestHeaders.parseDeadlineMillis(request.headers(), headerNames.deadlineMillis())
                .map(millis -> Math.max(1, millis - RESPONSE_MARGIN_MILLIS))
                .orElse(route.timeoutMillis());
        return request.arrivedMillis() + Math.min(waitMillis, route.timeoutMillis());
    }

    private Optional<ActiveRequest> refuse(CallerRequest request, String requestId, ResultCode code, String reason) {
        responder.refuseUnrouted(request, requestId, code, reason);
        return Optional.empty();
    }
}

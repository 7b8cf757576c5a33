package org.lacewingthread.daemon.router;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.DispatchRequest;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.daemon.http.OutboundConnection;
import org.lacewingthread.daemon.intake.CallerRequest;

/** State of one caller's request from its arrival to its answer. */
final class RoutedRequest {
    final long number;
    final CallerRequest callerRequest;
    final String requestId;
    final Route route;
    final ServiceId service;
    final OptionalInt key;
    /** When the caller, or the route's timeout, stops waiting. */
    final long deadlineMillis;

    final Set<ServerId> triedServers = new HashSet<>();
    /** What was tried, for the log. */
    final StringBuilder attemptSummary = new StringBuilder();

    /** The request while it waits for a server. */
    Optional<DispatchRequest> queuedRequest = Optional.empty();
    /** The attempt under way. */
    Optional<Attempt> attempt = Optional.empty();

    /** When the newest attempt was sent; empty before the first. */
    OptionalLong lastSentMillis = OptionalLong.empty();

    int sentAttempts;
    int unsentAttempts;
    /** Whether an attempt may have run. */
    boolean mayHaveRun;

    boolean finished;
    /** Whether the caller left while a server may be at work on its at-most-once request. */
    boolean callerDisconnected;

    /** One attempt at a server. */
    static final class Attempt {
        final Decision.Offer decision;
        final long startedNanos;
        OutboundConnection connection;
        boolean ended;

        Attempt(Decision.Offer offer, long startedNanos) {
            this.decision = offer;
            this.startedNanos = startedNanos;
        }
    }

    RoutedRequest(
            long number,
            CallerRequest caller,
            String requestId,
            Route route,
            ServiceId service,
            OptionalInt key,
            long deadlineMillis) {
        this.number = number;
        this.callerRequest = caller;
        this.requestId = requestId;
        this.route = route;
        this.service = service;
        this.key = key;
        this.deadlineMillis = deadlineMillis;
    }

    DispatchRequest toDispatchRequest() {
        long targetAtMillis = Math.min(deadlineMillis, callerRequest.arrivedMillis() + route.targetLatencyMillis());
        return new DispatchRequest(
                number, service, key, route.priority(), targetAtMillis, deadlineMillis, triedServers);
    }
}

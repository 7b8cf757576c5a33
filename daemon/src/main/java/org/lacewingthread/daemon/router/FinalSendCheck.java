package org.lacewingthread.daemon.router;

import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Decides at the last moment whether a request may be handed to a server or to another entry VM. A message to either is
 * built from a {@link Clearance}, so that none can be sent without having asked. Runs on the traffic thread.
 *
 * <pre>{@code
 * Optional<FinalSendCheck.Clearance> clearance = finalCheck.tryClear(request);
 * clearance.ifPresent(cleared -> connection.send(buildRequest(request, cleared), ...));
 * }</pre>
 */
final class FinalSendCheck {
    private final RequestEngine engine;
    private final RouterMetrics metrics;
    private final LongSupplier clockMillis;

    /** Permission to send a request now. */
    static final class Clearance {
        private final long deadlineMillis;
        private final long grantedMillis;

        private Clearance(long deadlineMillis, long grantedMillis) {
            this.deadlineMillis = deadlineMillis;
            this.grantedMillis = grantedMillis;
        }

        /** Returns the time up to which the caller waits, by the traffic clock. */
        long deadlineMillis() {
            return deadlineMillis;
        }

        /** Returns how much of that time is left to whom the request is sent; positive. */
        long leftMillis() {
            return deadlineMillis - grantedMillis;
        }
    }

    FinalSendCheck(RequestEngine engine, RouterMetrics metrics, LongSupplier clockMillis) {
        this.engine = engine;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
    }

    /** Clears a request, or ends it; nothing is returned if it has ended. */
    Optional<Clearance> tryClear(ActiveRequest request) {
        // A look at the connection may show that requests were cancelled, this one among them.
        boolean callerLeft =
                request.callerDisconnected || request.callerRequest.responder().hasCallerLeft();
        long nowMillis = clockMillis.getAsLong();
        if (request.finished) {
            return Optional.empty();
        }
        if (callerLeft) {
            return withhold(request, SendObstacle.CALLER_LEFT);
        }
        if (nowMillis >= request.sendUntilMillis()) {
            return withhold(request, SendObstacle.TIME_OVER);
        }
        return Optional.of(new Clearance(request.deadlineMillis, nowMillis));
    }

    private Optional<Clearance> withhold(ActiveRequest request, SendObstacle obstacle) {
        metrics.onSendWithheld(obstacle);
        obstacle.end(engine, request);
        return Optional.empty();
    }
}

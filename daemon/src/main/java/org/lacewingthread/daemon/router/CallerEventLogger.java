package org.lacewingthread.daemon.router;

import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.intake.CallerRequestHandler;

/** Logs and counts what happens to callers' connections and to requests that are not valid. */
abstract class CallerEventLogger implements CallerRequestHandler {
    private final EventLog events;
    private final RouterMetrics metrics;

    CallerEventLogger(EventLog events, RouterMetrics metrics) {
        this.events = events;
        this.metrics = metrics;
    }

    @Override
    public void onInvalidRequest(int status, String reason) {
        metrics.onInvalid(status);
        events.write("request.invalid", "status", status, "reason", reason);
    }

    @Override
    public void onConnectionFailed(Throwable cause, int unanswered) {
        events.writeFailure("caller.connection-failed", cause, "unanswered", unanswered);
    }

    @Override
    public void onConnectionLimit(int limit, boolean newest) {
        events.write("caller.connection-limit", "limit", limit, "closed", newest ? "newest" : "longest idle");
    }

    @Override
    public void onResponseGivenUp(long bytes, String reason) {
        events.write("caller.response-given-up", "bytes", bytes, "reason", reason);
    }
}

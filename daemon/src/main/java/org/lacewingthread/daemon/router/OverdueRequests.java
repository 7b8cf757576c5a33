package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.OverdueAttempts;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Finds attempts whose answer is overdue, since the server most likely was full and dropped the request without an answer.
 * A request that may be repeated is sent to another server as well, if attempts, budget and time allow. The overdue attempt
 * goes on in any case, since its server may be at work: the first whole response is delivered. Runs on the traffic thread.
 */
final class OverdueRequests {
    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final RequestRetries retries;
    private final RouterMetrics metrics;
    private final EventLog events;

    OverdueRequests(
            RequestEngine engine,
            RequestDispatcher dispatcher,
            RequestRetries retries,
            RouterMetrics metrics,
            EventLog events) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.retries = retries;
        this.metrics = metrics;
        this.events = events;
    }

    /** Sends a request to another server as well, if its newest attempt is overdue and it may be repeated. */
    void check(ActiveRequest request, long nowMillis) {
        request.attempt
                .filter(attempt -> isOverdue(request, attempt, nowMillis))
                .ifPresent(attempt -> onOverdue(request, attempt, nowMillis));
    }

    private boolean isOverdue(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        boolean silent = !attempt.ended && attempt.connection != null && !attempt.connection.isReceiving();
        if (!silent || attempt.sentMillis.isEmpty() || attempt.repeated || request.isRelayPending()) {
            return false;
        }
        OverdueAttempts rule = dispatcher.overdueAttempts();
        return attempt.overdue || rule.isOverdue(attempt.decision, (double) nowMillis - attempt.sentMillis.getAsLong());
    }

    private void onOverdue(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        // A key has one owner, whose answer may still come. A suspected request must not run twice, since its server
        // may be about to end.
        if (request.key.isEmpty() && !request.onTrial && retries.tryRepeat(request)) {
            repeat(request, attempt, nowMillis);
        } else if (!attempt.overdue) {
            await(request, attempt, nowMillis);
        }
    }

    private void repeat(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        attempt.overdue = true;
        attempt.repeated = true;
        attempt.addToSummary(request.attemptSummary, "overdue");
        metrics.onOverdue("REPEATED");
        dispatcher.overdueAttempts().onRepeated(attempt.decision, nowMillis);
        engine.crashGuard().onBroken(request, attempt);
        retries.repeat(request);
    }

    private void await(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        attempt.overdue = true;
        attempt.addToSummary(request.attemptSummary, "overdue-awaited");
        metrics.onOverdue("AWAITED");
        if (dispatcher.overdueAttempts().onAwaited(attempt.decision, nowMillis)) {
            events.write(
                    "service.owners-paced",
                    "service",
                    request.service,
                    "request",
                    request.requestId,
                    "server",
                    attempt.decision.server().start());
        }
    }
}

package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.OverdueAttempts;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Finds attempts whose answer is overdue, since the server most likely was full and dropped the request without an answer.
 * One that may be repeated ends, if attempts, budget and time allow; others are awaited. Runs on the traffic thread.
 */
final class OverdueRequests {
    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final RequestRetries retries;
    private final EventLog events;

    OverdueRequests(RequestEngine engine, RequestDispatcher dispatcher, RequestRetries retries, EventLog events) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.retries = retries;
        this.events = events;
    }

    /** Ends the attempt of a request, if it is overdue and the request is to be sent again. */
    void check(ActiveRequest request, long nowMillis) {
        request.attempt
                .filter(attempt -> isOverdue(request, attempt, nowMillis))
                .ifPresent(attempt -> onOverdue(request, attempt, nowMillis));
    }

    private boolean isOverdue(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        boolean silent = !attempt.ended && attempt.connection != null && !attempt.connection.isReceiving();
        if (!silent || attempt.sentMillis.isEmpty() || request.hedge.isPresent()) {
            return false;
        }
        OverdueAttempts rule = dispatcher.overdueAttempts();
        return attempt.overdue || rule.isOverdue(attempt.decision, (double) nowMillis - attempt.sentMillis.getAsLong());
    }

    private void onOverdue(ActiveRequest request, ActiveRequest.Attempt attempt, long nowMillis) {
        Decision.Send decision = attempt.decision;
        // A key has one owner, whose answer may still come. A suspected request must not run twice, since its server
        // may be about
        // to end.
        if (request.key.isEmpty() && !request.onTrial && retries.tryRepeat(request)) {
            attempt.connection.abort();
            engine.onFailure(request, attempt, AttemptResult.OVERDUE, "overdue");
        } else if (!attempt.overdue) {
            if (dispatcher.overdueAttempts().onAwaited(decision, nowMillis)) {
                events.write(
                        "service.owners-paced",
                        "service",
                        request.service,
                        "request",
                        request.requestId,
                        "server",
                        decision.server().start());
            }
            attempt.addToSummary(request.attemptSummary, "overdue-awaited");
        }
        attempt.overdue = true;
    }
}

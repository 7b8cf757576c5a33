package org.lacewingthread.daemon.router;

import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;

/** Ends requests whose deadline has passed, and attempts whose answer is overdue. Runs on the traffic thread. */
final class RequestDeadlines {
    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final ConnectionPool<ServerStart> connections;
    private final ResponseSender responder;
    private final ActiveRequests activeRequests;
    private final OverdueRequests overdue;

    RequestDeadlines(
            RequestEngine engine,
            RequestDispatcher dispatcher,
            ConnectionPool<ServerStart> connections,
            ResponseSender responder,
            ActiveRequests activeRequests,
            RequestRetries retries,
            EventLog events) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.responder = responder;
        this.activeRequests = activeRequests;
        this.overdue = new OverdueRequests(engine, dispatcher, retries, events);
    }

    /** Answers all requests whose deadline has passed, and sends overdue ones again. */
    void endExpired(long nowMillis) {
        for (ActiveRequest request : activeRequests.all()) {
            if (nowMillis >= request.deadlineMillis) {
                end(request);
            } else {
                overdue.check(request, nowMillis);
            }
        }
    }

    private void end(ActiveRequest request) {
        request.queuedRequest.ifPresent(dispatcher::cancel);
        engine.finish(request);
        if (request.mayHaveRun()) {
            request.attempt.ifPresent(
                    attempt -> connections.closeIdle(attempt.decision.server().start()));
            responder.fail(request, ResultCode.OUTCOME_UNKNOWN, 0, "the deadline passed after the request was sent");
        } else {
            responder.fail(request, ResultCode.OVERLOADED, 0, "the deadline passed before the request was sent");
        }
        engine.abandonAttempt(request);
    }
}

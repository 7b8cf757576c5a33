package org.lacewingthread.daemon.router;

import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.http.ConnectionPool;

/** Ends requests whose deadline has passed, and attempts whose answer is overdue. Runs on the traffic thread. */
final class RequestDeadlines {
    private final RequestEngine engine;
    private final ConnectionPool<ServerStart> connections;
    private final ResponseSender responder;
    private final ActiveRequests activeRequests;
    private final OverdueRequests overdue;

    RequestDeadlines(
            RequestEngine engine,
            ConnectionPool<ServerStart> connections,
            ResponseSender responder,
            ActiveRequests activeRequests,
            OverdueRequests overdue) {
        this.engine = engine;
        this.connections = connections;
        this.responder = responder;
        this.activeRequests = activeRequests;
        this.overdue = overdue;
    }

    /** Answers all requests whose deadline has passed, and sends overdue ones to other servers as well. */
    void endExpired(long nowMillis) {
        for (ActiveRequest request : activeRequests.all()) {
            if (nowMillis >= request.deadlineMillis) {
                end(request);
            } else {
                overdue.check(request, nowMillis);
            }
        }
    }

    /** Answers a request whose deadline has passed; servers that were sent it and did not answer may be out of reach. */
    void end(ActiveRequest request) {
        request.openAttempts().stream()
                .filter(attempt -> attempt.sentMillis.isPresent())
                .forEach(attempt ->
                        connections.closeIdle(attempt.decision.server().start()));
        engine.finish(request);
        if (request.mayHaveRun()) {
            responder.fail(request, ResultCode.OUTCOME_UNKNOWN, 0, "the deadline passed after the request was sent");
        } else {
            responder.fail(request, ResultCode.OVERLOADED, 0, "the deadline passed before the request was sent");
        }
    }
}

package org.lacewingthread.daemon.router;

import java.util.Optional;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.FullResponse;

/** Reads what servers say about themselves in the headers of their responses. Runs on the traffic thread. */
final class ResponseObservers {
    private final LimitObserver limits;
    private final ColdServerObserver coldServers;
    private final LoadObserver loads;
    private final RestObserver rests;

    ResponseObservers(
            HeaderNames headerNames,
            RequestDispatcher dispatcher,
            LimitLink limitLink,
            EventLog events,
            RouterMetrics metrics) {
        this.limits = new LimitObserver(headerNames.serverLimits(), dispatcher, events, limitLink::onLimitEnded);
        this.coldServers =
                new ColdServerObserver(headerNames.coldMillis(), dispatcher.coldServers(), limitLink, events);
        this.loads = new LoadObserver(headerNames.serverLoad(), events, metrics);
        this.rests = new RestObserver(headerNames, dispatcher, events, limitLink::onServerLeaving);
    }

    /** Reads a response to an attempt of this VM; returns the load that the server reports. */
    Optional<LoadReport> onResponse(
            ActiveRequest.Attempt attempt, FullResponse response, AttemptResult result, long nowMillis) {
        ServerStart server = attempt.decision.server().start();
        rests.onResponse(server, response, nowMillis);
        coldServers.onResponse(server, response);
        limits.onResponse(server, response, result, attempt.sentMillis.orElseThrow(), nowMillis);
        return loads.read(server, response);
    }

    /** Reads a response that another entry VM forwarded. */
    void onForwarded(ServerStart server, FullResponse response) {
        rests.onForwarded(server, response);
    }

    /** Logs which servers became limited because they are cold, and which no longer are. */
    void logChanges() {
        coldServers.logChanges();
    }
}

package org.lacewingthread.daemon.router;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.daemon.http.ConnectionPool;

/** Moves requests to other entry VMs when this one no longer reaches any server. Runs on the traffic thread. */
final class CutOffRequests {
    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final ConnectionPool<ServerStart> connections;
    private final RelaySender relays;
    private final RequestRetries retries;
    private final ActiveRequests activeRequests;
    private final LongSupplier clockMillis;

    CutOffRequests(
            RequestEngine engine,
            RequestDispatcher dispatcher,
            ConnectionPool<ServerStart> connections,
            RelaySender relays,
            RequestRetries retries,
            ActiveRequests activeRequests,
            LongSupplier clockMillis) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.connections = connections;
        this.relays = relays;
        this.retries = retries;
        this.activeRequests = activeRequests;
        this.clockMillis = clockMillis;
    }

    /**
     * Moves the requests that wait, and those that were sent and may be repeated. Others are awaited, since a server may
     * have run them.
     */
    void onCutOffChanged(boolean cutOff) {
        engine.applyDecisions(dispatcher.onCutOffChanged(cutOff, clockMillis.getAsLong()));
        if (!cutOff) {
            return;
        }
        connections.closeAllIdle();
        for (ActiveRequest request : activeRequests.all()) {
            Optional<ActiveRequest.Attempt> attempt = request.attempt.filter(current -> !current.ended);
            if (attempt.isEmpty()) {
                continue;
            }
            if (attempt.get().connection == null) {
                engine.onFailure(request, attempt.get(), AttemptResult.NOT_SENT, "no server can be reached");
            } else if (relays.hasPeer() && retries.tryRepeat(request)) {
                attempt.get().addToSummary(request.attemptSummary, "no server can be reached");
                engine.abandonAttempt(request);
                engine.submit(request);
            }
        }
    }
}

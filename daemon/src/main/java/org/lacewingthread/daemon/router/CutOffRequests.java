package org.lacewingthread.daemon.router;

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
     * Moves the requests that wait, and hands those that were sent and may be repeated to other entry VMs as well. All that
     * were sent are awaited, since a server may be at work on them.
     */
    void onCutOffChanged(boolean cutOff) {
        engine.applyDecisions(dispatcher.onCutOffChanged(cutOff, clockMillis.getAsLong()));
        if (!cutOff) {
            return;
        }
        connections.closeAllIdle();
        for (ActiveRequest request : activeRequests.all()) {
            request.openAttempts().stream()
                    .filter(attempt -> attempt.connection == null)
                    .forEach(attempt ->
                            engine.onFailure(request, attempt, AttemptResult.NOT_SENT, "no server can be reached"));
            boolean sent = !request.openAttempts().isEmpty();
            if (sent && !request.isRelayPending() && relays.hasPeer() && retries.tryRepeat(request)) {
                request.attemptSummary.append(" no server can be reached");
                engine.submit(request);
            }
        }
    }
}

package org.lacewingthread.daemon.router;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.hedging.HedgePolicy;
import org.lacewingthread.core.traffic.ServiceRetryBudget;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Makes a second attempt at another server when the first one of a repeatable request without key is slower than most. The
 * first whole response wins. Does nothing until it is enabled. Runs on the traffic thread.
 */
final class HedgedAttempts {
    private static final double NANOS_PER_MILLI = 1e6;

    private final RequestEngine engine;
    private final RequestDispatcher dispatcher;
    private final AttemptSender sender;
    private final ServiceRetryBudget retryBudget;
    private final ActiveRequests activeRequests;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final LongSupplier clockMillis;
    private Optional<HedgePolicy> policy = Optional.empty();

    HedgedAttempts(
            RequestEngine engine,
            RequestDispatcher dispatcher,
            AttemptSender sender,
            ServiceRetryBudget retryBudget,
            ActiveRequests activeRequests,
            EventLog events,
            RouterMetrics metrics,
            LongSupplier clockMillis) {
        this.engine = engine;
        this.dispatcher = dispatcher;
        this.sender = sender;
        this.retryBudget = retryBudget;
        this.activeRequests = activeRequests;
        this.events = events;
        this.metrics = metrics;
        this.clockMillis = clockMillis;
    }

    void enable(HedgePolicy newPolicy) {
        policy = Optional.of(newPolicy);
    }

    /** Counts a caller's request. */
    void onFirstAttempt() {
        policy.ifPresent(HedgePolicy::onFirstAttempt);
    }

    /** Makes second attempts of the requests whose first one is overdue. */
    void tick(long nowMillis) {
        if (policy.isEmpty()) {
            return;
        }
        for (ActiveRequest request : activeRequests.all()) {
            if (mayHedge(request) && isOverdue(request, nowMillis)) {
                tryHedge(request, nowMillis);
            }
        }
    }

    private boolean mayHedge(ActiveRequest request) {
        return request.key.isEmpty()
                && request.route.repeatability().maySendAgain(true)
                && request.openAttempts().size() == 1
                && request.queuedRequest.isEmpty()
                && request.attemptsLeft() > 0
                && !request.onTrial
                && !request.callerDisconnected
                && request.attempt
                        .filter(first -> !first.ended && first.sentMillis.isPresent())
                        .isPresent()
                && engine.crashGuard().maySend(request);
    }

    private boolean isOverdue(ActiveRequest request, long nowMillis) {
        ActiveRequest.Attempt first = request.attempt.orElseThrow();
        OptionalLong afterMillis =
                policy.orElseThrow().hedgeAfterMillis(request.service, first.decision.expectedMillis(), nowMillis);
        return afterMillis.isPresent() && nowMillis - first.sentMillis.orElseThrow() > afterMillis.getAsLong();
    }

    private void tryHedge(ActiveRequest request, long nowMillis) {
        if (!policy.orElseThrow().mayTake() || !retryBudget.mayTake(request.service, nowMillis)) {
            return;
        }
        Optional<Decision.Send> second = dispatcher.hedge(request.toDispatchRequest(), nowMillis);
        boolean takesTokens =
                second.isPresent() && policy.orElseThrow().tryTake() && retryBudget.tryTake(request.service, nowMillis);
        if (!takesTokens) {
            return;
        }
        ActiveRequest.Attempt first = request.attempt.orElseThrow();
        metrics.onHedge("SENT");
        events.write(
                "request.hedged",
                "request",
                request.requestId,
                "first",
                first.decision.server().start(),
                "second",
                second.get().server().start(),
                "waited_ms",
                nowMillis - first.sentMillis.orElseThrow(),
                "expected_ms",
                first.decision.expectedMillis());
        sender.sendHedge(request, second.get());
    }

    /** Records the attempt whose response is delivered. */
    void onAnswered(ActiveRequest request, ActiveRequest.Attempt winner) {
        policy.ifPresent(known -> known.onAnswered(
                request.service,
                winner.decision.expectedMillis(),
                (System.nanoTime() - winner.startedNanos) / NANOS_PER_MILLI,
                clockMillis.getAsLong()));
        if (winner.hedge) {
            metrics.onHedge("WON");
        }
    }
}

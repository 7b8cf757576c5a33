package org.lacewingthread.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the server that gets a second attempt of an overdue request: only one that would run it at once, so that
 * hedging takes idle slots and can't add to an overload.
 */
final class HedgeTargets {
    private final ServerChooser chooser;
    private final SendGate gate;
    private final ServerLimits limits;
    private final RestPeriods rests;

    HedgeTargets(ServerChooser chooser, SendGate gate, ServerLimits limits, RestPeriods rests) {
        this.chooser = chooser;
        this.gate = gate;
        this.limits = limits;
        this.rests = rests;
    }

    /** Chooses among the ready and healthy servers with an idle slot that the request was not sent to. */
    Optional<Decision.Send> choose(List<ServerLoadState> servers, DispatchRequest request, long nowMillis) {
        double leftMillis = (double) request.deadlineMillis() - nowMillis;
        List<ServerLoadState> idle = servers.stream()
                .filter(state -> state.knownServer().isReady() && !state.isReplaced())
                .filter(state -> gate.allows(state.knownServer()))
                .filter(state ->
                        !request.triedServers().contains(state.entry().start().server()))
                .filter(state ->
                        !state.entry().cold() && !limits.isLimited(state.entry().start()))
                .filter(state -> !rests.isResting(state.entry().start(), nowMillis))
                .filter(state -> !state.isEjected(nowMillis) && state.hasIdleSlot(nowMillis))
                .filter(state -> state.expectedMillis(0, nowMillis) < leftMillis)
                .toList();
        if (idle.isEmpty()) {
            return Optional.empty();
        }
        ServerLoadState target = chooser.choose(idle, request.targetAtMillis(), Map.of(), nowMillis);
        long expectedMillis = Math.round(target.expectedMillis(0, nowMillis));
        target.onSent(leftMillis, nowMillis);
        return Optional.of(new Decision.Send(request, target.entry(), expectedMillis));
    }
}

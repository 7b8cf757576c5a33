package org.lacewingthread.core.dispatch;

import java.util.List;

/**
 * Selects the servers that may get a second attempt of an overdue request: only those that would run it at once, so that
 * hedging takes idle slots and can't add to an overload.
 */
final class HedgeTargets {
    private final ServerLimits limits;
    private final RestPeriods rests;

    HedgeTargets(ServerLimits limits, RestPeriods rests) {
        this.limits = limits;
        this.rests = rests;
    }

    /** Returns the ready and healthy servers with an idle slot that the request was not sent to. */
    List<ServerLoadState> of(List<ServerLoadState> servers, DispatchRequest request, long nowMillis) {
        double leftMillis = (double) request.deadlineMillis() - nowMillis;
        return servers.stream()
                .filter(state -> state.knownServer().isReady() && !state.isReplaced())
                .filter(state ->
                        !request.triedServers().contains(state.entry().start().server()))
                .filter(state ->
                        !state.entry().cold() && !limits.isLimited(state.entry().start()))
                .filter(state -> !rests.isResting(state.entry().start(), nowMillis))
                .filter(state -> !state.isEjected(nowMillis) && state.hasIdleSlot(nowMillis))
                .filter(state -> state.expectedMillis(0, nowMillis) < leftMillis)
                .toList();
    }
}

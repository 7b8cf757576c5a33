package org.lacewingthread.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.dispatch.DispatchDescription.Outcome;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * Describes what would be decided about a request without deciding it. It runs the rules of the real decision over the same
 * state, behind the requests that wait already, and carries nothing out.
 */
final class DecisionPreview {
    /** Most servers that a description lists. */
    private static final int MAX_CANDIDATES = 20;

    /**
     * The middle of each range of random numbers, so that equal questions have equal answers. A real choice varies around
     * it by the chooser's random factor.
     */
    private static final RandomGenerator MEAN = () -> Long.MIN_VALUE;

    private final DispatchRules rules;
    private final ServiceServers serviceServers;
    private final ServerLimits limits;
    private final RestPeriods rests;

    DecisionPreview(
            DispatchRules rules,
            SendGate silentGate,
            ServiceServers serviceServers,
            ServerLimits limits,
            RestPeriods rests) {
        this.rules = rules.preview(silentGate, MEAN);
        this.serviceServers = serviceServers;
        this.limits = limits;
        this.rests = rests;
    }

    /** Describes the decision about a request that is not waiting yet. */
    DispatchDescription describe(DispatchRequest request, WaitingRequests waiting, ClassShares shares, long nowMillis) {
        List<DispatchRequest> order = DispatchOrder.of(
                waiting.with(request), shares.starvedPriority(request.service()), rules::owner, nowMillis);
        int position = order.indexOf(request);
        Map<ServerId, Integer> aheadByServer = new HashMap<>();
        for (DispatchRequest before : order.subList(0, position)) {
            // One that would be sent takes the room there, as one that waits does.
            if (rules.choose(before, aheadByServer, nowMillis) instanceof Choice.Ready ready) {
                aheadByServer.merge(ready.server().entry().start().server(), 1, Integer::sum);
            }
        }
        Choice choice = rules.choose(request, aheadByServer, nowMillis);
        if (choice instanceof Choice.Wait
                && waiting.wouldRemove(request, serviceServers.sharePerSecond(request.service()), nowMillis)) {
            choice = new Choice.Refuse(new Refusals(MEAN).overloaded(request, Refusals.MAX_RETRY_AFTER_MILLIS));
        }
        return describe(request, choice, position, nowMillis);
    }

    private DispatchDescription describe(DispatchRequest request, Choice choice, int waitingBefore, long nowMillis) {
        Outcome outcome = Outcome.REFUSE;
        Optional<RefusalCause> cause = Optional.empty();
        long retryAfterMillis = 0;
        Optional<ServerLoadState> server = rules.owner(request);
        if (choice instanceof Choice.Ready ready) {
            server = Optional.of(ready.server());
            boolean needsPermit = request.key().isPresent()
                    && limits.isLimited(ready.server().knownServer().start());
            outcome = needsPermit ? Outcome.ASK_LEADER : Outcome.SEND;
        } else if (choice instanceof Choice.Wait wait) {
            server = wait.server().or(() -> rules.owner(request));
            outcome = Outcome.WAIT;
            cause = Optional.of(wait.cause());
        } else if (choice instanceof Choice.Refuse refuse) {
            cause = Optional.of(refuse.refusal().cause());
            retryAfterMillis = refuse.refusal().retryAfterMillis();
        }
        Optional<ServerStart> first = server.map(state -> state.knownServer().start());
        List<ServerLoadState> known = request.key().isPresent()
                ? rules.owner(request).stream().toList()
                : serviceServers.of(request.service());
        List<CandidateDescription> candidates = known.stream()
                .map(state -> describe(request, state, nowMillis))
                .sorted(Comparator.comparing((CandidateDescription candidate) ->
                                !Optional.of(candidate.server()).equals(first))
                        .thenComparing(CandidateDescription::state)
                        .thenComparingDouble(CandidateDescription::expectedMillis))
                .limit(MAX_CANDIDATES)
                .toList();
        return new DispatchDescription(
                outcome,
                cause,
                retryAfterMillis,
                first,
                server.map(state -> Math.round(state.expectedMillis(0, nowMillis)))
                        .orElse(0L),
                waitingBefore,
                rules.ownership(request),
                candidates,
                known.size() - candidates.size());
    }

    private CandidateDescription describe(DispatchRequest request, ServerLoadState state, long nowMillis) {
        ServerStart server = state.knownServer().start();
        return new CandidateDescription(
                server,
                state.entry().dataCentre(),
                rules.stateOf(request, state, nowMillis),
                state.entry().slots(),
                state.inFlight(),
                state.otherVmsLoad(nowMillis),
                state.loadAgeMillis(nowMillis),
                state.serviceMillis(),
                state.currentServiceMillis(nowMillis),
                state.expectedMillis(0, nowMillis),
                rests.remainingMillis(server, nowMillis),
                state.entry().cold(),
                limits.coldServers().perSecond(server),
                limits.namedPerSecond(server),
                state.knownServer()
                        .acceptsUntilMillis()
                        .map(until -> OptionalLong.of(Math.max(0, until - nowMillis)))
                        .orElse(OptionalLong.empty()));
    }
}

package org.lacewingthread.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;

/**
 * Chooses a server for one request from what this entry VM knows, or tells why it waits or is refused. The state of servers
 * and limits is only read; {@link RequestDispatcher} carries out what is chosen.
 */
final class DispatchRules {
    /** Share of the remaining time that may be spent waiting; the rest is left to a refused caller for a retry. */
    private static final double MAX_WAIT_RATIO = 0.85;

    private final Map<ServerStart, ServerLoadState> servers;
    private final ServiceServers serviceServers;
    private final ServerLimits limits;
    private final RestPeriods rests;
    private final SendGate gate;
    private final ServerChooser serverChooser;
    private final SilentOwners silentOwners;
    private final Refusals refusals;
    private RangeTable rangeTable = RangeTable.EMPTY;
    private boolean cutOff;

    DispatchRules(
            Map<ServerStart, ServerLoadState> servers,
            ServiceServers serviceServers,
            ServerLimits limits,
            RestPeriods rests,
            SendGate gate,
            ServerChooser serverChooser,
            SilentOwners silentOwners,
            Refusals refusals) {
        this.servers = servers;
        this.serviceServers = serviceServers;
        this.limits = limits;
        this.rests = rests;
        this.gate = gate;
        this.serverChooser = serverChooser;
        this.silentOwners = silentOwners;
        this.refusals = refusals;
    }

    /**
     * Returns the same rules over the same state with other random numbers, so that a choice by them leaves no trace.
     *
     * @param silentGate gate that neither logs nor counts
     */
    DispatchRules preview(SendGate silentGate, RandomGenerator random) {
        DispatchRules preview = new DispatchRules(
                servers,
                serviceServers,
                limits,
                rests,
                silentGate,
                serverChooser.copy(random),
                silentOwners,
                new Refusals(random));
        preview.rangeTable = rangeTable;
        preview.cutOff = cutOff;
        return preview;
    }

    void setRangeTable(RangeTable newest) {
        rangeTable = newest;
    }

    void setCutOff(boolean isCutOff) {
        cutOff = isCutOff;
    }

    boolean isCutOff() {
        return cutOff;
    }

    /** Returns the owner of a request's key as recorded; empty if the request has no key, or nobody owns the key. */
    Optional<RangeOwnership> ownership(DispatchRequest request) {
        return request.key().isEmpty()
                ? Optional.empty()
                : rangeTable.find(request.service(), request.key().getAsInt());
    }

    /** Returns the owner of a request's key; empty if the request has no key, or the key no owner that is known. */
    Optional<ServerLoadState> owner(DispatchRequest request) {
        return ownership(request).map(ownership -> servers.get(ownership.owner()));
    }

    /**
     * Chooses for a request.
     *
     * @param aheadByServer requests that wait for each server and precede this one; a request that waits for a server is added
     */
    Choice choose(DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        if (nowMillis >= request.deadlineMillis()) {
            return new Choice.Refuse(Refusals.refuse(request, RefusalCause.DEADLINE_PASSED, 0));
        }
        return request.key().isPresent()
                ? chooseKeyed(request, aheadByServer, nowMillis)
                : chooseUnkeyed(request, aheadByServer, nowMillis);
    }

    private Choice chooseKeyed(DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        Optional<RangeOwnership> ownership = ownership(request);
        if (ownership.isEmpty() || ownership.get().isMoving()) {
            return SendGate.refuseIfEvacuated(request, serviceServers.of(request.service()))
                    .orElseGet(() -> Refusals.unlessMayWait(request, RefusalCause.NO_OWNER, nowMillis));
        }
        ServerLoadState owner = servers.get(ownership.get().owner());
        if (owner == null || owner.isReplaced() || !owner.knownServer().acceptsOwnedKeys(nowMillis)) {
            boolean evacuated = owner != null && owner.knownServer().evacuated();
            return Refusals.atOnce(request, evacuated ? RefusalCause.EVACUATED : RefusalCause.OWNER_GONE);
        }
        if (!gate.allows(owner.knownServer())) {
            return Refusals.unlessMayWait(request, RefusalCause.REGISTRY_OUTDATED, nowMillis);
        }
        long restMillis = rests.remainingMillis(ownership.get().owner(), nowMillis);
        if (restMillis > 0) {
            return new Choice.Refuse(refusals.resting(request, restMillis));
        }
        // An ejected owner is still used: it may reset connections because it is full, and no other server
        // can run the request.
        if (cutOff || owner.isUnreachable(nowMillis)) {
            return Refusals.atOnce(request, cutOff ? RefusalCause.CUT_OFF : RefusalCause.OWNER_UNREACHABLE);
        }
        return chooseForServer(request, owner, aheadByServer, nowMillis);
    }

    private Choice chooseUnkeyed(DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        List<ServerLoadState> known = serviceServers.of(request.service());
        List<ServerLoadState> ready =
                known.stream().filter(DispatchRules::takesNewRequests).toList();
        if (ready.isEmpty()) {
            return SendGate.refuseIfEvacuated(request, known)
                    .orElseGet(() -> Refusals.atOnce(request, RefusalCause.NO_SERVER));
        }
        if (!gate.allows(ready.get(0).knownServer())) {
            return Refusals.unlessMayWait(request, RefusalCause.REGISTRY_OUTDATED, nowMillis);
        }
        List<ServerLoadState> awake = ready.stream()
                .filter(state -> !rests.isResting(state.knownServer().start(), nowMillis))
                .toList();
        if (awake.isEmpty()) {
            return new Choice.Refuse(refusals.resting(request, rests.shortestMillis(ready, nowMillis)));
        }
        List<ServerLoadState> unlimited = awake.stream()
                .filter(state -> limits.hasSlot(state.knownServer().start(), nowMillis))
                .toList();
        if (unlimited.isEmpty()) {
            return new Choice.Refuse(refusals.withoutPermit(request));
        }
        if (cutOff || unlimited.stream().allMatch(state -> state.isUnreachable(nowMillis))) {
            return Refusals.atOnce(request, cutOff ? RefusalCause.CUT_OFF : RefusalCause.OWNER_UNREACHABLE);
        }
        List<ServerLoadState> healthy = unlimited.stream()
                .filter(state -> !state.isEjected(nowMillis))
                .filter(state ->
                        !request.triedServers().contains(state.entry().start().server()))
                .toList();
        List<ServerLoadState> candidates = healthy.isEmpty() ? unlimited : healthy;
        ServerLoadState best = serverChooser.choose(candidates, request.targetAtMillis(), aheadByServer, nowMillis);
        return chooseForServer(request, best, aheadByServer, nowMillis);
    }

    private static boolean takesNewRequests(ServerLoadState state) {
        return state.knownServer().isReady() && !state.isReplaced();
    }

    private Choice chooseForServer(
            DispatchRequest request, ServerLoadState state, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        ServerId server = state.entry().start().server();
        int ahead = aheadByServer.getOrDefault(server, 0);
        double expectedMillis = state.expectedMillis(ahead, nowMillis);
        double leftMillis = request.deadlineMillis() - nowMillis;
        double waitMillis = Math.max(
                expectedMillis - state.currentServiceMillis(nowMillis),
                silentOwners.waitMillis(request, state, ahead, nowMillis));
        boolean tooLate = !state.mayAnswerWithin(leftMillis, nowMillis) || waitMillis > leftMillis * MAX_WAIT_RATIO;
        if (tooLate) {
            return new Choice.Refuse(refusals.overloaded(request, waitMillis));
        }
        if (ahead == 0 && silentOwners.hasRoom(request, state, nowMillis)) {
            return new Choice.Ready(state, expectedMillis);
        }
        aheadByServer.merge(server, 1, Integer::sum);
        return new Choice.Wait(Optional.of(state), RefusalCause.OVERLOADED);
    }

    /** Returns the first reason that keeps a request from a server that owns its key, or may run it without one, in the order in which they are checked. */
    CandidateState stateOf(DispatchRequest request, ServerLoadState state, long nowMillis) {
        boolean ownsKey = request.key().isPresent();
        boolean accepts = ownsKey
                ? state.knownServer().acceptsOwnedKeys(nowMillis) && !state.isReplaced()
                : takesNewRequests(state);
        ServerStart server = state.knownServer().start();
        if (!accepts) {
            return state.knownServer().evacuated()
                    ? CandidateState.EVACUATED
                    : state.isReplaced() ? CandidateState.REPLACED : CandidateState.LEAVING;
        } else if (!gate.allows(state.knownServer())) {
            return CandidateState.VIEW_TOO_OLD;
        } else if (rests.isResting(server, nowMillis)) {
            return CandidateState.RESTING;
        } else if (!ownsKey && !limits.hasSlot(server, nowMillis)) {
            return CandidateState.LIMITED;
        } else if (state.isUnreachable(nowMillis)) {
            return CandidateState.UNREACHABLE;
        } else if (!ownsKey && state.isEjected(nowMillis)) {
            return CandidateState.FAILING;
        }
        return silentOwners.hasRoom(request, state, nowMillis) ? CandidateState.FREE : CandidateState.FULL;
    }
}

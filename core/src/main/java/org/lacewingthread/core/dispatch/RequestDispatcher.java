package org.lacewingthread.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * Chooses a server for each request: the owner of its key, or the server with the shortest expected
 * response time. Requests for which no server has capacity wait here in order of urgency, and are
 * refused as soon as no server can answer them in time.
 *
 * <pre>{@code
 * for (Decision decision : dispatcher.submit(request, nowMillis)) { ... }
 * ...
 * for (Decision decision : dispatcher.onAttemptEnded(send, result, elapsedMillis, report, nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class RequestDispatcher {
    private final Refusals refusals;
    private final ServerChooser serverChooser;
    private final Map<ServerStart, ServerLoadState> servers = new HashMap<>();
    private final ServiceServers serviceServers = new ServiceServers(servers);
    private final SilentOwners silentOwners = new SilentOwners();
    private final OverdueAttempts overdueAttempts = new OverdueAttempts(servers, silentOwners);
    private final WaitingRequests waiting = new WaitingRequests();
    private final ClassShares shares = new ClassShares();
    private final ServerLimits limits;
    private final RestPeriods rests = new RestPeriods();
    private final SendGate gate;
    private final HedgeTargets hedgeTargets;
    private final DispatchRules rules;

    /** Creates a dispatcher for an entry VM in a data centre; the seeded random numbers spread requests over servers. */
    public RequestDispatcher(DataCentreId dataCentre, RandomGenerator random) {
        this(dataCentre, random, new SendGate(() -> true, () -> true));
    }

    /** Creates a dispatcher that sends requests to a server only while enough is known of it. */
    public RequestDispatcher(DataCentreId dataCentre, RandomGenerator random, SendGate gate) {
        this.gate = gate;
        this.refusals = new Refusals(random);
        this.serverChooser = new ServerChooser(dataCentre, random);
        this.limits = new ServerLimits(random);
        this.hedgeTargets = new HedgeTargets(serverChooser, gate, limits, rests);
        this.rules =
                new DispatchRules(servers, serviceServers, limits, rests, gate, serverChooser, silentOwners, refusals);
    }

    /** Updates the known servers and the owners of key ranges, and decides about all waiting requests. */
    public List<Decision> onTopologyChanged(List<KnownServer> known, RangeTable ranges, long nowMillis) {
        rules.setRangeTable(ranges);
        serviceServers.update(known);
        serverChooser.retain(servers.keySet());
        limits.onServers(known, nowMillis);
        return reevaluate(nowMillis);
    }

    /** Records that a server named a limit in a response; returns whether the limit is a new one. */
    public boolean onLimitNamed(ServerStart server, NamedLimit limit, long nowMillis) {
        return servers.containsKey(server) && limits.onNamed(server, limit, nowMillis);
    }

    /** Records that a server answered a request, sent at a time, without naming a limit; returns whether that ends one. */
    public boolean onNoLimitNamed(ServerStart server, long sentAtMillis) {
        return limits.onNotNamed(server, sentAtMillis);
    }

    /** Returns the servers whose rate is limited while they are cold. */
    public ColdServers coldServers() {
        return limits.coldServers();
    }

    /** Records that a server wants no requests of this VM until a time; returns whether that prolongs its rest. */
    public boolean onRestAsked(ServerStart server, long endMillis) {
        return rests.onAsked(server, endMillis);
    }

    /** Returns the time for which a server still wants no requests of this VM, in milliseconds; 0 if it takes them. */
    public long restMillis(ServerStart server, long nowMillis) {
        return rests.remainingMillis(server, nowMillis);
    }

    /** Sets the number of entry VMs, which share the limits of servers and the tests of slow ones. */
    public void onEntryVmCount(int count) {
        serviceServers.setEntryVmCount(count);
        serverChooser.setEntryVmCount(count);
        limits.setEntryVmCount(count);
    }

    /**
     * Applies the leader's answer to {@link Decision.AskPermit}.
     *
     * @param number number of the request
     * @param server server for which the permit was asked; the request may have asked for another one since
     */
    public List<Decision> onPermit(long number, ServerStart server, PermitIssuer.Permit permit, long nowMillis) {
        Optional<DispatchRequest> request = limits.onPermit(number, server, permit.outcome(), nowMillis);
        if (request.isEmpty()) {
            return List.of();
        }
        if (permit.outcome() == PermitIssuer.Outcome.REFUSED) {
            return List.of(refusals.limited(request.get(), permit.retryAfterMillis()));
        }
        return submit(request.get(), nowMillis);
    }

    /**
     * Sets how many connections this entry VM may open to each server of a service.
     *
     * @param limitByService limits by service; a service without an entry has no limit
     */
    public void onConnectionLimits(Map<ServiceId, Integer> limitByService) {
        serviceServers.setConnectionLimits(limitByService);
    }

    /**
     * Sets whether this VM reaches no server at all. When it does again, failures of single servers are forgotten, since
     * its own links caused them.
     */
    public List<Decision> onCutOffChanged(boolean isCutOff, long nowMillis) {
        rules.setCutOff(isCutOff);
        if (!isCutOff) {
            servers.values().forEach(ServerLoadState::forgetFailures);
        }
        return reevaluate(nowMillis);
    }

    /** Returns the owner of a request's key; empty if the request has no key, or the key no owner that is known. */
    public Optional<ServerStart> ownerOf(DispatchRequest request) {
        return rules.owner(request).map(state -> state.knownServer().start());
    }

    /** Adds a request and returns the decisions that are due, also about other waiting requests. */
    public List<Decision> submit(DispatchRequest request, long nowMillis) {
        waiting.add(request);
        List<Decision> decisions = new ArrayList<>();
        decide(request.service(), decisions, nowMillis);
        double sendsPerSecond = serviceServers.sharePerSecond(request.service());
        waiting.removeExcess(request, sendsPerSecond, nowMillis).ifPresent(last -> {
            Decision.Refuse refusal = refusals.overloaded(last, Refusals.MAX_RETRY_AFTER_MILLIS);
            decisions.add(refusal);
            shares.onDecided(refusal);
        });
        return decisions;
    }

    /**
     * Describes what would be decided about a request now. Nothing is sent, used up, counted or drawn.
     *
     * @param request request that is not waiting here
     * @param silentGate gate with the same answers as this dispatcher's, which neither logs nor counts
     */
    public DispatchDescription describe(DispatchRequest request, SendGate silentGate, long nowMillis) {
        return new DecisionPreview(rules, silentGate, serviceServers, limits, rests)
                .describe(request, waiting, shares, nowMillis);
    }

    /** Chooses a second server for an overdue request; empty if it has a key, or its service has no idle slot to spare. */
    public Optional<Decision.Send> hedge(DispatchRequest request, long nowMillis) {
        boolean mayHedge = !rules.isCutOff()
                && request.key().isEmpty()
                && waiting.of(request.service()).isEmpty();
        return mayHedge
                ? hedgeTargets.choose(serviceServers.of(request.service()), request, nowMillis)
                : Optional.empty();
    }

    /** Removes a waiting request whose caller has disconnected. */
    public void cancel(DispatchRequest request) {
        waiting.remove(request);
        limits.cancel(request.number());
    }

    /** Records the end of an attempt that was sent and decides about the waiting requests of its service. */
    public List<Decision> onAttemptEnded(
            Decision.Send send,
            AttemptResult result,
            double elapsedMillis,
            Optional<LoadReport> report,
            long nowMillis) {
        ServerLoadState state = servers.get(send.server().start());
        boolean wasLost = silentOwners.onEnded(send);
        if (state != null) {
            if (wasLost) {
                state.onLostEnded();
            }
            state.onEnded(result, elapsedMillis, report, nowMillis);
            serviceServers.assumeServiceTimes(send.request().service());
        }
        if (result == AttemptResult.REJECTED && report.isPresent()) {
            silentOwners.onRejected(send.request().service());
        }
        List<Decision> decisions = new ArrayList<>();
        decide(send.request().service(), decisions, nowMillis);
        return decisions;
    }

    /** Returns the rule by which answers are overdue. */
    public OverdueAttempts overdueAttempts() {
        return overdueAttempts;
    }

    /** Decides again about all waiting requests; to be called periodically. */
    public List<Decision> reevaluate(long nowMillis) {
        rests.removeEnded(nowMillis);
        List<Decision> decisions = new ArrayList<>();
        for (ServerLimits.Unanswered unanswered : limits.takeOverdue(nowMillis)) {
            if (unanswered.permitted()) {
                decisions.addAll(submit(unanswered.request(), nowMillis));
            } else {
                decisions.add(refusals.withoutPermit(unanswered.request()));
            }
        }
        for (ServiceId service : waiting.services()) {
            decide(service, decisions, nowMillis);
        }
        return decisions;
    }

    /** Returns the number of waiting requests of all services. */
    public int waitingCount() {
        return limits.pendingCount() + waiting.count();
    }

    /** Returns the number of waiting requests that only the owner of their key can run. */
    public int keyedWaitingCount() {
        return waiting.keyedCount();
    }

    /** Returns the service time of a server as measured by this VM, in milliseconds. */
    public Optional<Double> serviceMillis(ServerStart server) {
        return Optional.ofNullable(servers.get(server)).map(ServerLoadState::serviceMillis);
    }

    /**
     * Returns whether a decided request may still be sent, which the sender asks once it has a connection: the server
     * is known and takes the request, as far as a current view of the registry tells, and still owns the key.
     */
    public boolean maySend(Decision.Send send, long nowMillis) {
        DispatchRequest request = send.request();
        ServerLoadState state = servers.get(send.server().start());
        if (state == null || state.isReplaced() || rests.isResting(send.server().start(), nowMillis)) {
            return false;
        }
        if (!gate.allows(state.knownServer()) || !limits.maySend(send, nowMillis)) {
            return false;
        }
        if (request.key().isEmpty()) {
            return state.knownServer().isReady();
        }
        boolean owns = rules.ownership(request)
                .filter(ownership -> !ownership.isMoving()
                        && ownership.owner().equals(send.server().start()))
                .isPresent();
        return owns && state.knownServer().acceptsOwnedKeys(nowMillis);
    }

    /** Returns until when a leaving server gets requests for its keys; empty if it is not leaving, or is not known. */
    public Optional<Long> acceptsUntilMillis(ServerStart server) {
        return Optional.ofNullable(servers.get(server))
                .flatMap(state -> state.knownServer().acceptsUntilMillis());
    }

    private void decide(ServiceId service, List<Decision> decisions, long nowMillis) {
        Map<ServerId, Integer> aheadByServer = new HashMap<>();
        for (DispatchRequest request :
                DispatchOrder.of(waiting.of(service), shares.starvedPriority(service), rules::owner, nowMillis)) {
            Optional<Decision> decision = decide(request, aheadByServer, nowMillis);
            if (decision.isPresent()) {
                waiting.remove(request);
                decisions.add(decision.get());
                shares.onDecided(decision.get());
            }
        }
    }

    private Optional<Decision> decide(DispatchRequest request, Map<ServerId, Integer> aheadByServer, long nowMillis) {
        Choice choice = rules.choose(request, aheadByServer, nowMillis);
        if (choice instanceof Choice.Ready ready) {
            return Optional.of(send(request, ready, nowMillis));
        }
        return choice instanceof Choice.Refuse refuse ? Optional.of(refuse.refusal()) : Optional.empty();
    }

    private Decision send(DispatchRequest request, Choice.Ready ready, long nowMillis) {
        ServerStart server = ready.server().knownServer().start();
        boolean permitted = request.key().isPresent()
                ? limits.tryUsePermit(request.number(), server, nowMillis)
                : limits.tryUseSlot(request.number(), server, nowMillis);
        if (!permitted) {
            return limits.ask(request, server, nowMillis);
        }
        ready.server().onSent((double) request.deadlineMillis() - nowMillis, nowMillis);
        return new Decision.Send(request, ready.server().entry(), Math.round(ready.expectedMillis()));
    }
}

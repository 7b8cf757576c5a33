package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.dispatch.PermitIssuer;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.memory.MemoryAccount;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.ServiceRetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;
import org.lacewingthread.daemon.http.DroppedResponseLog;
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.intake.CallerRequest;

/** Routes, dispatches, sends, retries and answers requests. All methods run on the traffic thread. */
final class RequestEngine extends CallerEventLogger {
    /** Attempts that may fail before the request is sent; more of them would only delay the refusal. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    /** Ample, since data centres are only a few milliseconds apart. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Idle connections are closed after this time, well before the servers close them. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final HeaderNames headerNames;
    private final RouterMetrics metrics;
    private final RequestDispatcher dispatcher;
    private final ServerLinkMonitor links;
    private final ConnectionPool<ServerStart> connections;
    private final DroppedResponseLog droppedResponses;
    private final FinalSendCheck finalCheck;
    private final AttemptSender sender;
    private final ResponseSender responder;
    private final ServiceRetryBudget retryBudget;
    private final RequestRetries retries;
    private final RelaySender relays;
    private final LongSupplier clockMillis;
    private final KeyRequestListener keyRequestListener;
    private final LimitLink limitLink;
    private final ActiveRoutes routing = new ActiveRoutes();
    private final RequestAdmission admission;
    private final ResponseObservers responseObservers;
    private final ActiveRequests activeRequests = new ActiveRequests();
    private final CallerDepartures departures;
    private final CutOffRequests cutOffRequests;
    private final RequestDeadlines deadlines;
    private final CrashGuard crashGuard;
    private final HedgedAttempts hedges;

    RequestEngine(
            HeaderNames headerNames,
            EventLog events,
            RouterMetrics metrics,
            RequestDispatcher dispatcher,
            EventLoop eventLoop,
            ServiceRetryBudget retryBudget,
            LongSupplier clockMillis,
            KeyRequestListener keyRequestListener,
            LimitLink limitLink,
            CrashRecordLink crashRecordLink,
            RelaySender.Access relayAccess) {
        super(events, metrics);
        this.headerNames = headerNames;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.links = new ServerLinkMonitor(events, clockMillis, relayAccess.random(), this::onCutOffChanged);
        this.connections = new ConnectionPool<>(
                eventLoop,
                clockMillis,
                CONNECT_TIMEOUT_MILLIS,
                MAX_IDLE_MILLIS,
                new RefusedConnections(links, limitLink));
        links.setConnections(connections);
        this.droppedResponses = new DroppedResponseLog(events, clockMillis);
        connections.setDropListener(droppedResponses::onDropped);
        this.finalCheck = new FinalSendCheck(this, metrics, clockMillis);
        this.sender = new AttemptSender(headerNames, connections, dispatcher, clockMillis, this, finalCheck, events);
        this.responder = new ResponseSender(headerNames, events, metrics, clockMillis);
        this.responseObservers = new ResponseObservers(headerNames, dispatcher, limitLink, events, metrics);
        this.admission = new RequestAdmission(headerNames, routing, responder);
        this.retryBudget = retryBudget;
        this.retries = new RequestRetries(this, responder, retryBudget, clockMillis);
        this.relays =
                new RelaySender(relayAccess, dispatcher, this, finalCheck, retries, responder, events, clockMillis);
        this.departures = new CallerDepartures(this, dispatcher, relays, responder);
        this.cutOffRequests =
                new CutOffRequests(this, dispatcher, connections, relays, retries, activeRequests, clockMillis);
        OverdueRequests overdue = new OverdueRequests(this, dispatcher, retries, metrics, events);
        this.deadlines = new RequestDeadlines(this, connections, responder, activeRequests, overdue);
        this.crashGuard = new CrashGuard(
                this,
                retries,
                new ServerTester(connections),
                crashRecordLink,
                events,
                clockMillis,
                System::currentTimeMillis);
        this.hedges =
                new HedgedAttempts(this, dispatcher, sender, retryBudget, activeRequests, events, metrics, clockMillis);
        this.clockMillis = clockMillis;
        this.keyRequestListener = keyRequestListener;
        this.limitLink = limitLink;
    }

    void countIn(MemoryAccount account) {
        connections.countIn(account);
        relays.countIn(account);
    }

    void onConfiguration(ServingConfiguration newest) {
        routing.apply(newest);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    /** Applies the leader's answer to a request for a permit. */
    void onPermit(long number, ServerStart server, PermitIssuer.Permit permit) {
        applyDecisions(dispatcher.onPermit(number, server, permit, clockMillis.getAsLong()));
    }

    /**
     * Applies the number of live entry VMs.
     *
     * @param retrySlack extra attempts of this VM in a window beyond the share of its first ones
     */
    void onEntryVmCount(int count, double retrySlack) {
        retryBudget.setSlack(retrySlack);
        dispatcher.onEntryVmCount(count);
        routing.onEntryVmCount(count);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    void onTopologyChange(List<KnownServer> servers, RangeTable table) {
        Set<ServerStart> known = servers.stream().map(KnownServer::start).collect(Collectors.toSet());
        connections.evictStale(known::contains);
        links.onServers(servers);
        applyDecisions(dispatcher.onTopologyChanged(servers, table, clockMillis.getAsLong()));
    }

    ActiveRoutes routing() {
        return routing;
    }

    ServerLinkMonitor links() {
        return links;
    }

    RequestDeadlines deadlines() {
        return deadlines;
    }

    HedgedAttempts hedges() {
        return hedges;
    }

    RelaySender relays() {
        return relays;
    }

    private void onCutOffChanged(boolean cutOff) {
        cutOffRequests.onCutOffChanged(cutOff);
    }

    CrashGuard crashGuard() {
        return crashGuard;
    }

    /** Ends requests whose deadline has passed and dispatches queued requests. */
    void tick() {
        links.tick();
        crashGuard.tick();
        responseObservers.logChanges();
        long nowMillis = clockMillis.getAsLong();
        deadlines.endExpired(nowMillis);
        hedges.tick(nowMillis);
        applyDecisions(dispatcher.reevaluate(nowMillis));
    }

    int unansweredCount() {
        return activeRequests.size();
    }

    int waitingCount() {
        return dispatcher.waitingCount();
    }

    /** Returns the number of requests that wait for the owners of their keys. */
    int keyedWaitingCount() {
        return dispatcher.keyedWaitingCount();
    }

    long connectionsOpened() {
        return connections.openedCount();
    }

    long droppedResponses() {
        return droppedResponses.count();
    }

    Optional<Double> serviceMillis(ServerStart server) {
        return dispatcher.serviceMillis(server);
    }

    @Override
    public void onRequestWhileStopping(CallerRequest request) {
        admission.refuseWhileStopping(request);
    }

    @Override
    public void onRequest(CallerRequest callerRequest) {
        Optional<ActiveRequest> admitted = admission.admit(callerRequest, activeRequests.nextNumber());
        if (admitted.isEmpty()) {
            return;
        }
        ActiveRequest request = admitted.get();
        activeRequests.add(request);
        retryBudget.onFirstAttempt(request.service, clockMillis.getAsLong());
        hedges.onFirstAttempt();
        request.key.ifPresent(value -> keyRequestListener.onKeyRequested(request.service, value));
        submit(request);
    }

    /**
     * Handles a request that another entry VM relayed, which counted it as its caller's.
     *
     * @param request creates the request with the number that it gets
     * @param onFinished called when the request is finished
     */
    void onRelayedRequest(LongFunction<ActiveRequest> request, Runnable onFinished) {
        ActiveRequest relayed = request.apply(activeRequests.nextNumber());
        relayed.onFinished = onFinished;
        activeRequests.add(relayed);
        submit(relayed);
    }

    /** Decides about a request, for the first time or again; attempts that are under way go on. */
    void submit(ActiveRequest request) {
        if (finalCheck.tryClear(request).isPresent() && crashGuard.admit(request)) {
            dispatch(request);
        }
    }

    /** Lets the dispatcher decide about a request that may be sent. */
    void dispatch(ActiveRequest request) {
        request.queuedRequest = Optional.of(request.toDispatchRequest());
        applyDecisions(dispatcher.submit(request.queuedRequest.get(), clockMillis.getAsLong()));
    }

    void applyDecisions(List<Decision> decisions) {
        for (Decision decision : decisions) {
            ActiveRequest request =
                    activeRequests.find(decision.request().number()).orElse(null);
            if (request == null) {
                continue;
            }
            if (decision instanceof Decision.AskPermit ask) {
                request.limitedServer = Optional.of(ask.server().server());
                limitLink.askPermit(ask.permitRequest(clockMillis.getAsLong()));
                continue;
            }
            request.queuedRequest = Optional.empty();
            if (decision instanceof Decision.Send send) {
                send(request, send);
            } else if (decision instanceof Decision.Refuse refuse && !relay(request, refuse)) {
                if (refuse.cause().isWithheld()) {
                    metrics.onWithheld(refuse.cause());
                }
                retries.refuse(request, refuse.cause(), refuse.retryAfterMillis());
            }
        }
    }

    private void send(ActiveRequest request, Decision.Send decision) {
        if (request.isUnderWayAt(decision.server().start())) {
            applyDecisions(dispatcher.onAttemptEnded(
                    decision, AttemptResult.WITHHELD, 0, Optional.empty(), clockMillis.getAsLong()));
        } else {
            sender.send(request, decision);
        }
    }

    private boolean relay(ActiveRequest request, Decision.Refuse refuse) {
        return refuse.cause().mayBeSentByOthers() && relays.trySend(request);
    }

    /** Ends a request and all that is under way for it; its response is sent by the caller of this method. */
    void finish(ActiveRequest request) {
        request.finished = true;
        request.queuedRequest.ifPresent(dispatcher::cancel);
        request.onFinished.run();
        request.callerRequest.responder().onFinished();
        activeRequests.remove(request);
        crashGuard.onFinished(request);
        relays.cancel(request);
        request.openAttempts().forEach(attempt -> abandon(request, attempt));
    }

    @Override
    public void onCallerDisconnected(CallerRequest callerRequest) {
        activeRequests.find(callerRequest.responder()).ifPresent(departures::end);
    }

    private void abandon(ActiveRequest request, ActiveRequest.Attempt attempt) {
        boolean timedOut = !request.callerDisconnected && clockMillis.getAsLong() >= request.deadlineMillis;
        AttemptResult result = attempt.abort(timedOut);
        attempt.addToSummary(request.attemptSummary, "cancelled");
        endAttempt(attempt, result, Optional.empty());
    }

    /** Records the end of an attempt; returns false if it had ended before. */
    boolean endAttempt(ActiveRequest.Attempt attempt, AttemptResult result, Optional<LoadReport> report) {
        if (attempt.ended) {
            return false;
        }
        attempt.end(result);
        double elapsedMillis = (System.nanoTime() - attempt.startedNanos) / 1e6;
        metrics.onAttempt(result, elapsedMillis);
        applyDecisions(
                dispatcher.onAttemptEnded(attempt.decision, result, elapsedMillis, report, clockMillis.getAsLong()));
        return true;
    }

    /** Called when a server sent a complete response. */
    void onResponse(ActiveRequest request, ActiveRequest.Attempt attempt, FullResponse response) {
        ServerEntry server = attempt.decision.server();
        links.onAnswer(server.start());
        connections.release(server.start(), attempt.connection);
        AttemptResult result =
                ServerResponses.classify(response, headerNames, server.start().server());
        Optional<LoadReport> report = responseObservers.onResponse(attempt, response, result, clockMillis.getAsLong());
        crashGuard.onResponse(request, server.start(), result);
        if (!endAttempt(attempt, result, report)) {
            return;
        }
        attempt.addToSummary(request.attemptSummary, Integer.toString(response.status()));
        if (request.finished) {
            return;
        }
        if (result == AttemptResult.ANSWERED) {
            hedges.onAnswered(request, attempt);
            request.attempt = Optional.of(attempt);
            finish(request);
            responder.forwardResponse(request, response);
        } else if (goesOn(request)) {
            return;
        } else if (result == AttemptResult.BROKEN) {
            retries.retryOrFail(request, ResultCode.ANSWER_LOST, "the server's response is not usable");
        } else if (result.isRefusedByServer()) {
            retries.retryOrRefuse(request, result, dispatcher.restMillis(server.start(), clockMillis.getAsLong()));
        } else {
            retries.retryOrForward(request, response);
        }
    }

    /** Called when another entry VM forwarded a server's response. */
    void onRelayedResponse(ServerStart server, FullResponse response) {
        responseObservers.onForwarded(server, response);
    }

    /** Returns whether a request whose attempt failed awaits another one, or waits to be sent again already. */
    private boolean goesOn(ActiveRequest request) {
        request.selectOpenAttempt();
        return request.isAwaited() || request.queuedRequest.isPresent() || crashGuard.isWaiting(request);
    }

    /** Called when an attempt ended without a response; {@link AttemptResult#BROKEN} if it was sent. */
    void onFailure(ActiveRequest request, ActiveRequest.Attempt attempt, AttemptResult result, String reason) {
        if (!endAttempt(attempt, result, Optional.empty())) {
            return;
        }
        attempt.addToSummary(request.attemptSummary, reason);
        if (result == AttemptResult.BROKEN) {
            crashGuard.onBroken(request, attempt);
        }
        if (request.finished || goesOn(request)) {
            return;
        }
        if (result == AttemptResult.BROKEN) {
            retries.retryOrFail(request, ResultCode.ANSWER_LOST, reason);
        } else if (++request.unsentAttempts < MAX_UNSENT_ATTEMPTS) {
            submit(request);
        } else if (result == AttemptResult.WITHHELD || !relays.trySend(request)) {
            retries.refuseUnsent(request, reason);
        }
    }
}

package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.dispatch.PermitIssuer;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.RetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.intake.CallerRequest;
import org.lacewingthread.daemon.intake.CallerRequestHandler;
import org.lacewingthread.daemon.intake.CallerResponder;

/** Routes, dispatches, sends, retries and answers requests. All methods run on the traffic thread. */
final class RequestEngine implements CallerRequestHandler {
    /** Attempts that may fail before the request is sent; more of them would only delay the refusal. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private static final Set<AttemptResult> NOT_RUN =
            EnumSet.of(AttemptResult.REJECTED, AttemptResult.MISDIRECTED, AttemptResult.REPLACED);
    /** Retry-After of requests that a server rejected; about one service time. */
    private static final long REJECTED_RETRY_AFTER_MILLIS = 100;

    private static final long NO_REQUEST_NUMBER = -1;
    private static final int FIRST_SERVER_ERROR = 500;
    /** Ample, since data centres are only a few milliseconds apart. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Idle connections are closed after this time, well before the servers close them. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final HeaderNames headerNames;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final RequestDispatcher dispatcher;
    private final ConnectionPool<ServerStart> connections;
    private final AttemptSender sender;
    private final ResponseSender responder;
    private final RetryBudget retryBudget;
    private final LongSupplier clockMillis;
    private final KeyRequestListener keyRequestListener;
    private final LimitLink limitLink;
    private final ActiveRoutes routing = new ActiveRoutes();
    private final RequestAdmission admission;
    private final LimitObserver limits;
    private final Map<Long, ActiveRequest> activeRequests = new HashMap<>();
    private final Map<CallerResponder, Long> requestNumberByReply = new HashMap<>();
    private long lastRequestNumber;

    /** Receives the keys of requests. */
    interface KeyRequestListener {
        /** Called once for each request with a key. */
        void onKeyRequested(ServiceId service, int key);
    }

    /** The leader, which permits requests to servers that named a limit. */
    interface LimitLink {
        /** Asks for a permit; {@link #onPermit} is called with the answer. */
        void askPermit(PermitRequest request);

        /** Called when a server no longer names a limit. */
        void onLimitEnded(ServerStart server);
    }

    RequestEngine(
            HeaderNames headerNames,
            EventLog events,
            RouterMetrics metrics,
            RequestDispatcher dispatcher,
            EventLoop eventLoop,
            RetryBudget retryBudget,
            LongSupplier clockMillis,
            KeyRequestListener keyRequestListener,
            LimitLink limitLink) {
        this.headerNames = headerNames;
        this.events = events;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.connections = new ConnectionPool<>(eventLoop, clockMillis, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        this.sender = new AttemptSender(headerNames, connections, dispatcher, clockMillis, this, events);
        this.responder = new ResponseSender(headerNames, events, metrics, clockMillis);
        this.limits = new LimitObserver(headerNames.serverLimits(), dispatcher, events, limitLink::onLimitEnded);
        this.admission = new RequestAdmission(headerNames, routing, responder);
        this.retryBudget = retryBudget;
        this.clockMillis = clockMillis;
        this.keyRequestListener = keyRequestListener;
        this.limitLink = limitLink;
    }

    void onConfiguration(ServingConfiguration newest) {
        routing.apply(newest);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    /** Applies the leader's answer to a request for a permit. */
    void onPermit(long number, PermitIssuer.Permit permit) {
        applyDecisions(dispatcher.onPermit(number, permit, clockMillis.getAsLong()));
    }

    void onEntryVmCount(int count) {
        dispatcher.onEntryVmCount(count);
        routing.onEntryVmCount(count);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    void onTopologyChange(List<KnownServer> servers, RangeTable table) {
        Set<ServerStart> known = servers.stream().map(KnownServer::start).collect(Collectors.toSet());
        connections.evictStale(known::contains);
        applyDecisions(dispatcher.onTopologyChanged(servers, table, clockMillis.getAsLong()));
    }

    /** Ends requests whose deadline has passed and dispatches queued requests. */
    void tick() {
        long nowMillis = clockMillis.getAsLong();
        for (ActiveRequest request : List.copyOf(activeRequests.values())) {
            if (nowMillis >= request.deadlineMillis) {
                onDeadlineExpired(request);
            }
        }
        applyDecisions(dispatcher.reevaluate(nowMillis));
    }

    int unansweredCount() {
        return activeRequests.size();
    }

    int waitingCount() {
        return dispatcher.waitingCount();
    }

    long connectionsOpened() {
        return connections.openedCount();
    }

    Optional<Double> serviceMillis(ServerStart server) {
        return dispatcher.serviceMillis(server);
    }

    @Override
    public void onInvalidRequest(int status, String reason) {
        metrics.onInvalid(status);
        events.write("request.invalid", "status", status, "reason", reason);
    }

    @Override
    public void onConnectionFailed(Throwable cause, int unanswered) {
        events.writeFailure("caller.connection-failed", cause, "unanswered", unanswered);
    }

    @Override
    public void onRequest(CallerRequest callerRequest) {
        Optional<ActiveRequest> admitted = admission.admit(callerRequest, lastRequestNumber + 1);
        if (admitted.isEmpty()) {
            return;
        }
        ActiveRequest request = admitted.get();
        lastRequestNumber = request.number;
        activeRequests.put(request.number, request);
        requestNumberByReply.put(callerRequest.responder(), request.number);
        retryBudget.onFirstAttempt();
        request.key.ifPresent(value -> keyRequestListener.onKeyRequested(request.service, value));
        submit(request);
    }

    private void submit(ActiveRequest request) {
        request.attempt = Optional.empty();
        request.queuedRequest = Optional.of(request.toDispatchRequest());
        applyDecisions(dispatcher.submit(request.queuedRequest.get(), clockMillis.getAsLong()));
    }

    private void applyDecisions(List<Decision> decisions) {
        for (Decision decision : decisions) {
            ActiveRequest request = activeRequests.get(decision.request().number());
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
                request.triedServers.add(send.server().start().server());
                sender.send(request, send);
            } else if (decision instanceof Decision.Refuse refuse) {
                refuse(request, refuse.cause(), refuse.retryAfterMillis());
            }
        }
    }

    private void refuse(ActiveRequest request, RefusalCause cause, long retryAfterMillis) {
        if (request.mayHaveRun) {
            finish(request);
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "no second attempt: " + cause);
            return;
        }
        ResultCode code =
                switch (cause) {
                    case OVERLOADED, LIMITED, DEADLINE_PASSED -> ResultCode.OVERLOADED;
                    case NO_OWNER, OWNER_GONE -> ResultCode.NO_OWNER;
                    case OWNER_UNREACHABLE, NO_SERVER -> ResultCode.OWNER_UNREACHABLE;
                };
        finish(request);
        String limitedBy = cause == RefusalCause.LIMITED
                ? request.limitedServer.map(server -> " by " + server).orElse("")
                : "";
        responder.refuse(request, code, cause + limitedBy, retryAfterMillis);
    }

    private void finish(ActiveRequest request) {
        request.finished = true;
        activeRequests.remove(request.number);
        requestNumberByReply.remove(request.callerRequest.responder());
    }

    private void onDeadlineExpired(ActiveRequest request) {
        request.queuedRequest.ifPresent(dispatcher::cancel);
        boolean sent =
                request.attempt.map(attempt -> attempt.connection != null).orElse(false) || request.mayHaveRun;
        finish(request);
        if (sent) {
            request.attempt.ifPresent(
                    attempt -> connections.closeIdle(attempt.decision.server().start()));
            responder.failWithUnknownOutcome(
                    request, ResultCode.OUTCOME_UNKNOWN, "the deadline passed after the request was sent");
        } else {
            responder.refuse(request, ResultCode.OVERLOADED, "the deadline passed before the request was sent", 0);
        }
        abandonAttempt(request);
    }

    @Override
    public void onCallerDisconnected(CallerRequest callerRequest) {
        Optional<ActiveRequest> abandoned = Optional.ofNullable(
                activeRequests.get(requestNumberByReply.getOrDefault(callerRequest.responder(), NO_REQUEST_NUMBER)));
        abandoned.ifPresent(request -> {
            request.queuedRequest.ifPresent(dispatcher::cancel);
            responder.logCallerDisconnected(request);
            request.callerDisconnected = true;
            boolean mustFinish = request.attempt.isPresent()
                    && !request.route.repeatability().maySendAgain(true);
            if (!mustFinish) {
                finish(request);
                abandonAttempt(request);
            }
        });
    }

    private void abandonAttempt(ActiveRequest request) {
        request.attempt.filter(attempt -> !attempt.ended).ifPresent(attempt -> {
            if (attempt.connection != null) {
                attempt.connection.abort();
            }
            endAttempt(attempt, AttemptResult.ABANDONED, Optional.empty());
        });
    }

    /** Records the end of an attempt; returns false if it had ended before. */
    private boolean endAttempt(ActiveRequest.Attempt attempt, AttemptResult result, Optional<LoadReport> report) {
        if (attempt.ended) {
            return false;
        }
        attempt.ended = true;
        double elapsedMillis = (System.nanoTime() - attempt.startedNanos) / 1e6;
        metrics.onAttempt(result, elapsedMillis);
        applyDecisions(
                dispatcher.onAttemptEnded(attempt.decision, result, elapsedMillis, report, clockMillis.getAsLong()));
        return true;
    }

    /** Called when a server sent a complete response. */
    void onResponse(ActiveRequest request, ActiveRequest.Attempt attempt, FullResponse response) {
        ServerEntry server = attempt.decision.server();
        connections.release(server.start(), attempt.connection);
        Optional<LoadReport> report = RequestHeaders.parseLoad(response.headers(), headerNames.serverLoad());
        AttemptResult result =
                ServerResponses.classify(response, headerNames, server.start().server());
        limits.onResponse(
                server.start(), response, result, request.lastSentMillis.orElseThrow(), clockMillis.getAsLong());
        if (!endAttempt(attempt, result, report)) {
            return;
        }
        request.attemptSummary
                .append(' ')
                .append(server.start().server())
                .append(':')
                .append(response.status());
        if (request.finished) {
            return;
        }
        if (result == AttemptResult.ANSWERED) {
            finish(request);
            responder.forwardResponse(request, response);
        } else if (NOT_RUN.contains(result)) {
            retryOrRefuse(request, result);
        } else {
            request.mayHaveRun = true;
            boolean fromServer = result == AttemptResult.SERVER_FAILED && response.status() >= FIRST_SERVER_ERROR;
            retryOrFail(
                    request,
                    fromServer ? Optional.of(response) : Optional.empty(),
                    "the server's response is not usable");
        }
    }

    /** Called when an attempt ended without a response; {@link AttemptResult#BROKEN} if it was sent. */
    void onFailure(ActiveRequest request, ActiveRequest.Attempt attempt, AttemptResult result, String reason) {
        if (!endAttempt(attempt, result, Optional.empty())) {
            return;
        }
        request.attemptSummary
                .append(' ')
                .append(attempt.decision.server().start().server())
                .append(':')
                .append(reason);
        if (request.finished) {
            return;
        }
        if (result == AttemptResult.BROKEN) {
            request.mayHaveRun = true;
            retryOrFail(request, Optional.empty(), reason);
        } else if (++request.unsentAttempts < MAX_UNSENT_ATTEMPTS) {
            submit(request);
        } else {
            finish(request);
            responder.refuse(request, ResultCode.OWNER_UNREACHABLE, reason, REJECTED_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrRefuse(ActiveRequest request, AttemptResult result) {
        if (request.sentAttempts < request.route.maxAttempts() && hasTimeToRetry(request) && retryBudget.tryTake()) {
            submit(request);
            return;
        }
        finish(request);
        if (request.mayHaveRun) {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "the server rejected a retry: " + result);
        } else {
            responder.refuse(
                    request,
                    ResultCode.OWNER_REFUSED,
                    "the server rejected the request: " + result,
                    REJECTED_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrFail(ActiveRequest request, Optional<FullResponse> failure, String reason) {
        boolean maySendAgain = request.route.repeatability().maySendAgain(true)
                && request.sentAttempts < request.route.maxAttempts()
                && hasTimeToRetry(request);
        if (maySendAgain && retryBudget.tryTake()) {
            submit(request);
            return;
        }
        finish(request);
        if (failure.isPresent()) {
            responder.forwardResponse(request, failure.get());
        } else {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, reason);
        }
    }

    private boolean hasTimeToRetry(ActiveRequest request) {
        return !request.callerDisconnected
                && request.deadlineMillis - clockMillis.getAsLong() > request.route.targetLatencyMillis() / 3;
    }
}

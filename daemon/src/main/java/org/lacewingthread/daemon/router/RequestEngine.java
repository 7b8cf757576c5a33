package org.lacewingthread.daemon.router;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.Decision;
import org.lacewingthread.core.dispatch.LoadReport;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.RangeTable;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.RetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.http.ConnectionPool;
import org.lacewingthread.daemon.http.WholeResponse;
import org.lacewingthread.daemon.intake.CallerReply;
import org.lacewingthread.daemon.intake.CallerRequest;
import org.lacewingthread.daemon.intake.RequestSink;

/** Takes requests through routing, dispatch, sending, repeats and the answer. Runs on the traffic thread. */
final class RequestEngine implements RequestSink {
    /** Attempts that may fail before the request was sent; more would only delay the refusal. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private static final Set<AttemptResult> NOT_RUN =
            EnumSet.of(AttemptResult.REJECTED, AttemptResult.MISDIRECTED, AttemptResult.REPLACED);
    /** When a caller may return whose request a server turned away; about one service time. */
    private static final long REJECTED_RETRY_AFTER_MILLIS = 100;

    private static final long NO_REQUEST_NUMBER = -1;
    /** Taken off a caller's deadline, so that the answer reaches the caller in time. */
    private static final long RESPONSE_MARGIN_MILLIS = 15;

    private static final int FIRST_SERVER_ERROR = 500;
    /** Longest time to connect to a server; data centres are a few milliseconds apart. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Idle connections are closed after this time, well before servers close them. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final HeaderNames headerNames;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final RequestDispatcher dispatcher;
    private final ConnectionPool<ServerStart> connections;
    private final AttemptSender sender;
    private final CallerResponder responder;
    private final RetryBudget retryBudget;
    private final LongSupplier clockMillis;
    private final KeyRequestListener keyRequestListener;
    private final RoutingConfiguration routing = new RoutingConfiguration();
    private final Map<Long, RoutedRequest> activeRequests = new HashMap<>();
    private final Map<CallerReply, Long> requestNumberByReply = new HashMap<>();
    private long lastRequestNumber;

    /** Takes which keys are asked for. */
    interface KeyRequestListener {
        /** Takes the key of one request. */
        void onKeyRequested(ServiceId service, int key);
    }

    RequestEngine(
            HeaderNames names,
            EventLog events,
            RouterMetrics metrics,
            RequestDispatcher dispatcher,
            EventLoop eventLoop,
            RetryBudget budget,
            LongSupplier clockMillis,
            KeyRequestListener keyLoads) {
        this.headerNames = names;
        this.events = events;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.connections = new ConnectionPool<>(eventLoop, clockMillis, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        this.sender = new AttemptSender(names, connections, clockMillis, this);
        this.responder = new CallerResponder(names, events, metrics, clockMillis);
        this.retryBudget = budget;
        this.clockMillis = clockMillis;
        this.keyRequestListener = keyLoads;
    }

    void onConfiguration(ServingConfiguration newest) {
        routing.apply(newest);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    void onEntryVmCount(int count) {
        routing.onEntryVmCount(count);
        dispatcher.onConnectionLimits(routing.connectionLimits());
    }

    void onTopologyChange(List<KnownServer> servers, RangeTable table) {
        Set<ServerStart> known = servers.stream().map(KnownServer::start).collect(Collectors.toSet());
        connections.trim(known::contains);
        applyDecisions(dispatcher.onView(servers, table, clockMillis.getAsLong()));
    }

    /** Looks at deadlines and at requests that wait. */
    void tick() {
        long nowMillis = clockMillis.getAsLong();
        for (RoutedRequest call : List.copyOf(activeRequests.values())) {
            if (nowMillis >= call.deadlineMillis) {
                onDeadlineExpired(call);
            }
        }
        applyDecisions(dispatcher.tick(nowMillis));
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
    public void onInvalid(int status, String reason) {
        metrics.onInvalid(status);
        events.write("request.invalid", "status", status, "reason", reason);
    }

    @Override
    public void onConnectionFailed(Throwable cause, int unanswered) {
        events.writeFailure("caller.connection-failed", cause, "unanswered", unanswered);
    }

    @Override
    public void onRequest(CallerRequest request) {
        String requestId = request.headers().get(headerNames.requestId());
        if (requestId == null || requestId.isEmpty()) {
            responder.refuseUnrouted(
                    request, "", ResultCode.MALFORMED_REQUEST, "header " + headerNames.requestId() + " is missing");
            return;
        }
        if (routing.version().isEmpty()) {
            responder.refuseUnrouted(request, requestId, ResultCode.NOT_READY, "no configuration is known yet");
            return;
        }
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        Optional<Route> route = routing.findRoute(host, request.target());
        if (route.isEmpty()) {
            responder.refuseUnrouted(
                    request,
                    requestId,
                    ResultCode.NO_SELECTOR,
                    "no route for host \"" + host + "\" and target \"" + request.target() + "\" in version "
                            + routing.version().getAsLong());
            return;
        }
        startRequest(request, requestId, route.get());
    }

    private void startRequest(CallerRequest request, String requestId, Route route) {
        ServiceId service = routing.nextService(route);
        OptionalInt key = OptionalInt.empty();
        if (routing.isKeyed(service)) {
            key = RequestHeaders.parseKey(request.headers(), headerNames.key());
            if (key.isEmpty()) {
                responder.refuseUnrouted(
                        request,
                        requestId,
                        ResultCode.KEY_MISSING,
                        "header " + headerNames.key() + " is missing or not a key, and service \"" + service
                                + "\" is divided by key");
                return;
            }
        }
        long waitMillis = RequestHeaders.parseDeadlineMillis(request.headers(), headerNames.deadlineMillis())
                .map(millis -> Math.max(1, millis - RESPONSE_MARGIN_MILLIS))
                .orElse(route.timeoutMillis());
        long deadlineMillis = request.arrivedMillis() + Math.min(waitMillis, route.timeoutMillis());
        RoutedRequest call =
                new RoutedRequest(++lastRequestNumber, request, requestId, route, service, key, deadlineMillis);
        activeRequests.put(call.number, call);
        requestNumberByReply.put(request.reply(), call.number);
        retryBudget.onFirstAttempt();
        key.ifPresent(asked -> keyRequestListener.onKeyRequested(service, asked));
        submit(call);
    }

    private void submit(RoutedRequest call) {
        call.attempt = Optional.empty();
        call.queuedRequest = Optional.of(call.toDispatchRequest());
        applyDecisions(dispatcher.submit(call.queuedRequest.get(), clockMillis.getAsLong()));
    }

    private void applyDecisions(List<Decision> decisions) {
        for (Decision decision : decisions) {
            RoutedRequest call = activeRequests.get(decision.request().number());
            if (call == null) {
                continue;
            }
            call.queuedRequest = Optional.empty();
            if (decision instanceof Decision.Offer offer) {
                call.triedServers.add(offer.server().start().server());
                sender.send(call, offer);
            } else if (decision instanceof Decision.Refuse refuse) {
                refuse(call, refuse.cause(), refuse.retryAfterMillis());
            }
        }
    }

    private void refuse(RoutedRequest call, RefusalCause cause, long retryAfterMillis) {
        if (call.mayHaveRun) {
            finish(call);
            responder.failWithUnknownOutcome(call, ResultCode.ANSWER_LOST, "no second attempt: " + cause);
            return;
        }
        ResultCode code =
                switch (cause) {
                    case OVERLOADED, DEADLINE_PASSED -> ResultCode.OVERLOADED;
                    case NO_OWNER, OWNER_GONE -> ResultCode.NO_OWNER;
                    case OWNER_UNREACHABLE, NO_SERVER -> ResultCode.OWNER_UNREACHABLE;
                };
        finish(call);
        responder.refuse(call, code, cause.toString(), retryAfterMillis);
    }

    private void finish(RoutedRequest call) {
        call.finished = true;
        activeRequests.remove(call.number);
        requestNumberByReply.remove(call.callerRequest.reply());
    }

    private void onDeadlineExpired(RoutedRequest call) {
        call.queuedRequest.ifPresent(dispatcher::cancel);
        boolean sent = call.attempt.map(attempt -> attempt.connection != null).orElse(false) || call.mayHaveRun;
        finish(call);
        if (sent) {
            call.attempt.ifPresent(
                    attempt -> connections.distrust(attempt.decision.server().start()));
            responder.failWithUnknownOutcome(
                    call, ResultCode.OUTCOME_UNKNOWN, "the deadline passed while a server worked on it");
        } else {
            responder.refuse(call, ResultCode.OVERLOADED, "the deadline passed before it was sent", 0);
        }
        abandonAttempt(call);
    }

    @Override
    public void onCallerGone(CallerRequest request) {
        Optional<RoutedRequest> gone = Optional.ofNullable(
                activeRequests.get(requestNumberByReply.getOrDefault(request.reply(), NO_REQUEST_NUMBER)));
        gone.ifPresent(call -> {
            call.queuedRequest.ifPresent(dispatcher::cancel);
            responder.logCallerDisconnected(call);
            call.callerDisconnected = true;
            boolean runsOn =
                    call.attempt.isPresent() && !call.route.repeatability().maySendAgain(true);
            if (!runsOn) {
                finish(call);
                abandonAttempt(call);
            }
        });
    }

    private void abandonAttempt(RoutedRequest call) {
        call.attempt.filter(attempt -> !attempt.ended).ifPresent(attempt -> {
            if (attempt.connection != null) {
                attempt.connection.abort();
            }
            endAttempt(attempt, AttemptResult.ABANDONED, Optional.empty());
        });
    }

    /** Notes the end of an attempt; returns false if it had ended before. */
    private boolean endAttempt(RoutedRequest.Attempt attempt, AttemptResult result, Optional<LoadReport> report) {
        if (attempt.ended) {
            return false;
        }
        attempt.ended = true;
        double elapsedMillis = (System.nanoTime() - attempt.startedNanos) / 1e6;
        metrics.onAttempt(result, elapsedMillis);
        applyDecisions(dispatcher.onEnded(attempt.decision, result, elapsedMillis, report, clockMillis.getAsLong()));
        return true;
    }

    /** Takes a whole response of a server. */
    void onResponse(RoutedRequest call, RoutedRequest.Attempt attempt, WholeResponse response) {
        ServerEntry server = attempt.decision.server();
        connections.giveBack(server.start(), attempt.connection);
        Optional<LoadReport> report = RequestHeaders.parseLoad(response.headers(), headerNames.serverLoad());
        AttemptResult result =
                ServerResponses.classify(response, headerNames, server.start().server());
        if (!endAttempt(attempt, result, report)) {
            return;
        }
        call.attemptSummary
                .append(' ')
                .append(server.start().server())
                .append(':')
                .append(response.status());
        if (call.finished) {
            return;
        }
        if (result == AttemptResult.ANSWERED) {
            finish(call);
            responder.forwardResponse(call, response);
        } else if (NOT_RUN.contains(result)) {
            retryOrRefuse(call, result);
        } else {
            call.mayHaveRun = true;
            boolean fromServer = result == AttemptResult.SERVER_FAILED && response.status() >= FIRST_SERVER_ERROR;
            retryOrFail(call, fromServer ? Optional.of(response) : Optional.empty(), "the answer is not usable");
        }
    }

    /** Takes a failed attempt. */
    void onFailure(RoutedRequest call, RoutedRequest.Attempt attempt, boolean sent, String reason) {
        AttemptResult result = sent ? AttemptResult.BROKEN : AttemptResult.NOT_SENT;
        if (!endAttempt(attempt, result, Optional.empty())) {
            return;
        }
        call.attemptSummary
                .append(' ')
                .append(attempt.decision.server().start().server())
                .append(':')
                .append(reason);
        if (call.finished) {
            return;
        }
        if (sent) {
            call.mayHaveRun = true;
            retryOrFail(call, Optional.empty(), reason);
        } else if (++call.unsentAttempts < MAX_UNSENT_ATTEMPTS) {
            submit(call);
        } else {
            finish(call);
            responder.refuse(call, ResultCode.OWNER_UNREACHABLE, reason, REJECTED_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrRefuse(RoutedRequest call, AttemptResult result) {
        if (call.sentAttempts < call.route.maxAttempts() && hasTimeToRetry(call) && retryBudget.tryTake()) {
            submit(call);
            return;
        }
        finish(call);
        if (call.mayHaveRun) {
            responder.failWithUnknownOutcome(call, ResultCode.ANSWER_LOST, "a repeat was turned away: " + result);
        } else {
            responder.refuse(
                    call,
                    ResultCode.OWNER_REFUSED,
                    "the server turned it away: " + result,
                    REJECTED_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrFail(RoutedRequest call, Optional<WholeResponse> failure, String reason) {
        boolean maySendAgain = call.route.repeatability().maySendAgain(true)
                && call.sentAttempts < call.route.maxAttempts()
                && hasTimeToRetry(call);
        if (maySendAgain && retryBudget.tryTake()) {
            submit(call);
            return;
        }
        finish(call);
        if (failure.isPresent()) {
            responder.forwardResponse(call, failure.get());
        } else {
            responder.failWithUnknownOutcome(call, ResultCode.ANSWER_LOST, reason);
        }
    }

    private boolean hasTimeToRetry(RoutedRequest call) {
        return !call.callerDisconnected
                && call.deadlineMillis - clockMillis.getAsLong() > call.route.targetLatencyMillis() / 3;
    }
}

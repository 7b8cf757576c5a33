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
import org.lacewingthread.daemon.http.FullResponse;
import org.lacewingthread.daemon.intake.CallerRequest;
import org.lacewingthread.daemon.intake.CallerRequestHandler;
import org.lacewingthread.daemon.intake.CallerResponder;

/** Takes requests through routing, dispatch, sending, repeats and the answer. Runs on the traffic thread. */
final class RequestEngine implements CallerRequestHandler {
    /** Attempts that may fail before the request was sent; more would only delay the refusal. */
    private static final int MAX_UNSENT_ATTEMPTS = 3;

    private static final Set<AttemptResult> NOT_RUN =
            EnumSet.of(AttemptResult.REJECTED, AttemptResult.MISDIRECTED, AttemptResult.REPLACED);
    /** When a caller may return whose request a server turned away; about one service time. */
    private static final long TURNED_AWAY_RETRY_AFTER_MILLIS = 100;

    private static final long NO_CALL = -1;
    /** Taken off a caller's deadline, so that the answer reaches the caller in time. */
    private static final long RETURN_MILLIS = 15;

    private static final int FIRST_SERVER_ERROR = 500;
    /** Longest time to connect to a server; data centres are a few milliseconds apart. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Idle connections are closed after this time, well before servers close them. */
    private static final long MAX_IDLE_MILLIS = 4_000;

    private final HeaderNames names;
    private final EventLog events;
    private final RouterMetrics metrics;
    private final RequestDispatcher dispatcher;
    private final ConnectionPool<ServerStart> connections;
    private final AttemptSender sender;
    private final CallerAnswers answers;
    private final RetryBudget budget;
    private final LongSupplier clockMillis;
    private final KeyLoadSink keyLoads;
    private final ConfiguredRoutes routes = new ConfiguredRoutes();
    private final Map<Long, RoutedCall> calls = new HashMap<>();
    private final Map<CallerResponder, Long> numberByReply = new HashMap<>();
    private long nextNumber;

    /** Takes which keys are asked for. */
    interface KeyLoadSink {
        /** Takes the key of one request. */
        void onKeyAsked(ServiceId service, int key);
    }

    RequestEngine(
            HeaderNames names,
            EventLog events,
            RouterMetrics metrics,
            RequestDispatcher dispatcher,
            EventLoop eventLoop,
            RetryBudget budget,
            LongSupplier clockMillis,
            KeyLoadSink keyLoads) {
        this.names = names;
        this.events = events;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
        this.connections = new ConnectionPool<>(eventLoop, clockMillis, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        this.sender = new AttemptSender(names, connections, clockMillis, this);
        this.answers = new CallerAnswers(names, events, metrics, clockMillis);
        this.budget = budget;
        this.clockMillis = clockMillis;
        this.keyLoads = keyLoads;
    }

    void onConfiguration(ServingConfiguration newest) {
        routes.apply(newest);
        dispatcher.onConnectionLimits(routes.connectionLimits());
    }

    void onEntryVmCount(int count) {
        routes.onEntryVmCount(count);
        dispatcher.onConnectionLimits(routes.connectionLimits());
    }

    void onView(List<KnownServer> servers, RangeTable table) {
        Set<ServerStart> known = servers.stream().map(KnownServer::start).collect(Collectors.toSet());
        connections.evictStale(known::contains);
        carryOut(dispatcher.onTopologyChanged(servers, table, clockMillis.getAsLong()));
    }

    /** Looks at deadlines and at requests that wait. */
    void tick() {
        long nowMillis = clockMillis.getAsLong();
        for (RoutedCall call : List.copyOf(calls.values())) {
            if (nowMillis >= call.deadlineMillis) {
                onDeadline(call);
            }
        }
        carryOut(dispatcher.reevaluate(nowMillis));
    }

    int unansweredCount() {
        return calls.size();
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
    public void onRequest(CallerRequest request) {
        String requestId = request.headers().get(names.requestId());
        if (requestId == null || requestId.isEmpty()) {
            answers.refuseUnrouted(
                    request, "", ResultCode.MALFORMED_REQUEST, "header " + names.requestId() + " is missing");
            return;
        }
        if (routes.version().isEmpty()) {
            answers.refuseUnrouted(request, requestId, ResultCode.NOT_READY, "no configuration is known yet");
            return;
        }
        String host =
                Optional.ofNullable(request.headers().get(HttpHeaderNames.HOST)).orElse("");
        Optional<Route> route = routes.find(host, request.target());
        if (route.isEmpty()) {
            answers.refuseUnrouted(
                    request,
                    requestId,
                    ResultCode.NO_SELECTOR,
                    "no route for host \"" + host + "\" and target \"" + request.target() + "\" in version "
                            + routes.version().getAsLong());
            return;
        }
        onRouted(request, requestId, route.get());
    }

    private void onRouted(CallerRequest request, String requestId, Route route) {
        ServiceId service = routes.nextService(route);
        OptionalInt key = OptionalInt.empty();
        if (routes.isKeyed(service)) {
            key = RequestHeaders.key(request.headers(), names.key());
            if (key.isEmpty()) {
                answers.refuseUnrouted(
                        request,
                        requestId,
                        ResultCode.KEY_MISSING,
                        "header " + names.key() + " is missing or not a key, and service \"" + service
                                + "\" is divided by key");
                return;
            }
        }
        long waitMillis = RequestHeaders.deadlineMillis(request.headers(), names.deadlineMillis())
                .map(millis -> Math.max(1, millis - RETURN_MILLIS))
                .orElse(route.timeoutMillis());
        long deadlineMillis = request.arrivedMillis() + Math.min(waitMillis, route.timeoutMillis());
        RoutedCall call = new RoutedCall(++nextNumber, request, requestId, route, service, key, deadlineMillis);
        calls.put(call.number, call);
        numberByReply.put(request.responder(), call.number);
        budget.onFirstAttempt();
        key.ifPresent(asked -> keyLoads.onKeyAsked(service, asked));
        submit(call);
    }

    private void submit(RoutedCall call) {
        call.attempt = Optional.empty();
        call.waiting = Optional.of(call.toDispatch());
        carryOut(dispatcher.submit(call.waiting.get(), clockMillis.getAsLong()));
    }

    private void carryOut(List<Decision> decisions) {
        for (Decision decision : decisions) {
            RoutedCall call = calls.get(decision.request().number());
            if (call == null) {
                continue;
            }
            call.waiting = Optional.empty();
            if (decision instanceof Decision.Send offer) {
                call.serversTried.add(offer.server().start().server());
                sender.send(call, offer);
            } else if (decision instanceof Decision.Refuse refuse) {
                refuse(call, refuse.cause(), refuse.retryAfterMillis());
            }
        }
    }

    private void refuse(RoutedCall call, RefusalCause cause, long retryAfterMillis) {
        if (call.mayHaveRun) {
            finish(call);
            answers.giveUp(call, ResultCode.ANSWER_LOST, "no second attempt: " + cause);
            return;
        }
        ResultCode code =
                switch (cause) {
                    case OVERLOADED, DEADLINE_PASSED -> ResultCode.OVERLOADED;
                    case NO_OWNER, OWNER_GONE -> ResultCode.NO_OWNER;
                    case OWNER_UNREACHABLE, NO_SERVER -> ResultCode.OWNER_UNREACHABLE;
                };
        finish(call);
        answers.refuse(call, code, cause.toString(), retryAfterMillis);
    }

    private void finish(RoutedCall call) {
        call.finished = true;
        calls.remove(call.number);
        numberByReply.remove(call.caller.responder());
    }

    private void onDeadline(RoutedCall call) {
        call.waiting.ifPresent(dispatcher::cancel);
        boolean sent = call.attempt.map(attempt -> attempt.connection != null).orElse(false) || call.mayHaveRun;
        finish(call);
        if (sent) {
            call.attempt.ifPresent(
                    attempt -> connections.closeIdle(attempt.offer.server().start()));
            answers.giveUp(call, ResultCode.OUTCOME_UNKNOWN, "the deadline passed while a server worked on it");
        } else {
            answers.refuse(call, ResultCode.OVERLOADED, "the deadline passed before it was sent", 0);
        }
        abandonAttempt(call);
    }

    @Override
    public void onCallerDisconnected(CallerRequest request) {
        Optional<RoutedCall> gone =
                Optional.ofNullable(calls.get(numberByReply.getOrDefault(request.responder(), NO_CALL)));
        gone.ifPresent(call -> {
            call.waiting.ifPresent(dispatcher::cancel);
            answers.callerLeft(call);
            call.callerGone = true;
            boolean runsOn =
                    call.attempt.isPresent() && !call.route.repeatability().maySendAgain(true);
            if (!runsOn) {
                finish(call);
                abandonAttempt(call);
            }
        });
    }

    private void abandonAttempt(RoutedCall call) {
        call.attempt.filter(attempt -> !attempt.ended).ifPresent(attempt -> {
            if (attempt.connection != null) {
                attempt.connection.abort();
            }
            endAttempt(attempt, AttemptResult.ABANDONED, Optional.empty());
        });
    }

    /** Notes the end of an attempt; returns false if it had ended before. */
    private boolean endAttempt(RoutedCall.Attempt attempt, AttemptResult result, Optional<LoadReport> report) {
        if (attempt.ended) {
            return false;
        }
        attempt.ended = true;
        double elapsedMillis = (System.nanoTime() - attempt.startedNanos) / 1e6;
        metrics.onAttempt(result, elapsedMillis);
        carryOut(dispatcher.onAttemptEnded(attempt.offer, result, elapsedMillis, report, clockMillis.getAsLong()));
        return true;
    }

    /** Takes a whole response of a server. */
    void onResponse(RoutedCall call, RoutedCall.Attempt attempt, FullResponse response) {
        ServerEntry server = attempt.offer.server();
        connections.release(server.start(), attempt.connection);
        Optional<LoadReport> report = RequestHeaders.load(response.headers(), names.serverLoad());
        AttemptResult result =
                ServerAnswers.classify(response, names, server.start().server());
        if (!endAttempt(attempt, result, report)) {
            return;
        }
        call.story.append(' ').append(server.start().server()).append(':').append(response.status());
        if (call.finished) {
            return;
        }
        if (result == AttemptResult.ANSWERED) {
            finish(call);
            answers.deliver(call, response);
        } else if (NOT_RUN.contains(result)) {
            retryOrRefuse(call, result);
        } else {
            call.mayHaveRun = true;
            boolean fromServer = result == AttemptResult.SERVER_FAILED && response.status() >= FIRST_SERVER_ERROR;
            retryOrGiveUp(call, fromServer ? Optional.of(response) : Optional.empty(), "the answer is not usable");
        }
    }

    /** Takes a failed attempt. */
    void onFailure(RoutedCall call, RoutedCall.Attempt attempt, boolean sent, String reason) {
        AttemptResult result = sent ? AttemptResult.BROKEN : AttemptResult.NOT_SENT;
        if (!endAttempt(attempt, result, Optional.empty())) {
            return;
        }
        call.story
                .append(' ')
                .append(attempt.offer.server().start().server())
                .append(':')
                .append(reason);
        if (call.finished) {
            return;
        }
        if (sent) {
            call.mayHaveRun = true;
            retryOrGiveUp(call, Optional.empty(), reason);
        } else if (++call.unsentAttempts < MAX_UNSENT_ATTEMPTS) {
            submit(call);
        } else {
            finish(call);
            answers.refuse(call, ResultCode.OWNER_UNREACHABLE, reason, TURNED_AWAY_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrRefuse(RoutedCall call, AttemptResult result) {
        if (call.sends < call.route.maxAttempts() && hasTime(call) && budget.tryTake()) {
            submit(call);
            return;
        }
        finish(call);
        if (call.mayHaveRun) {
            answers.giveUp(call, ResultCode.ANSWER_LOST, "a repeat was turned away: " + result);
        } else {
            answers.refuse(
                    call,
                    ResultCode.OWNER_REFUSED,
                    "the server turned it away: " + result,
                    TURNED_AWAY_RETRY_AFTER_MILLIS);
        }
    }

    private void retryOrGiveUp(RoutedCall call, Optional<FullResponse> failure, String reason) {
        boolean maySendAgain =
                call.route.repeatability().maySendAgain(true) && call.sends < call.route.maxAttempts() && hasTime(call);
        if (maySendAgain && budget.tryTake()) {
            submit(call);
            return;
        }
        finish(call);
        if (failure.isPresent()) {
            answers.deliver(call, failure.get());
        } else {
            answers.giveUp(call, ResultCode.ANSWER_LOST, reason);
        }
    }

    private boolean hasTime(RoutedCall call) {
        return !call.callerGone && call.deadlineMillis - clockMillis.getAsLong() > call.route.targetLatencyMillis() / 3;
    }
}

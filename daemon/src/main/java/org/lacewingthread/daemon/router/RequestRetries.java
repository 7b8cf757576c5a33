package org.lacewingthread.daemon.router;

import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.AttemptResult;
import org.lacewingthread.core.dispatch.RefusalCause;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.ServiceRetryBudget;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.http.FullResponse;

/** Decides whether a request whose attempt failed is sent again, refused or failed. Runs on the traffic thread. */
final class RequestRetries {
    /** Retry-After of requests that a server rejected; about one service time. */
    private static final long REJECTED_RETRY_AFTER_MILLIS = 100;

    private final RequestEngine engine;
    private final ResponseSender responder;
    private final ServiceRetryBudget retryBudget;
    private final LongSupplier clockMillis;

    RequestRetries(
            RequestEngine engine, ResponseSender responder, ServiceRetryBudget retryBudget, LongSupplier clockMillis) {
        this.engine = engine;
        this.responder = responder;
        this.retryBudget = retryBudget;
        this.clockMillis = clockMillis;
    }

    /** Refuses a request that can't be sent now. */
    void refuse(ActiveRequest request, RefusalCause cause, long retryAfterMillis) {
        String limitedBy = cause == RefusalCause.LIMITED
                ? request.limitedServer.map(server -> " by " + server).orElse("")
                : "";
        finish(request, cause.resultCode(), retryAfterMillis, cause + limitedBy);
    }

    /** Refuses a request that could not be sent to several servers. */
    void refuseUnsent(ActiveRequest request, String reason) {
        finish(request, ResultCode.OWNER_UNREACHABLE, REJECTED_RETRY_AFTER_MILLIS, reason);
    }

    /** Refuses a request under which servers ended. */
    void refuseQuarantined(ActiveRequest request, long retryAfterMillis, String reason) {
        finish(request, ResultCode.CRASHES_SERVERS, retryAfterMillis, reason);
    }

    /** Answers a request without a server's response, unless one may still come; its deadline ends the wait for that. */
    private void finish(ActiveRequest request, ResultCode code, long retryAfterMillis, String reason) {
        if (request.isAwaited()) {
            return;
        }
        engine.finish(request);
        responder.fail(request, code, retryAfterMillis, reason);
    }

    /**
     * Sends a request again that a server did not run, or refuses it.
     *
     * @param restMillis time for which the server wants no requests; nobody else can run a request for its keys
     */
    void retryOrRefuse(ActiveRequest request, AttemptResult result, long restMillis) {
        boolean hopeless = restMillis > 0 && request.key.isPresent();
        if (!hopeless && request.attemptsLeft() > 0 && hasTimeToRetry(request) && takesRetry(request, result)) {
            engine.submit(request);
            return;
        }
        finish(
                request,
                ResultCode.OWNER_REFUSED,
                Math.max(REJECTED_RETRY_AFTER_MILLIS, hopeless ? restMillis : 0),
                "the server rejected the request: " + result);
    }

    /** Sends a request again whose server ran it and reports a failure, or forwards the server's response. */
    void retryOrForward(ActiveRequest request, FullResponse failure) {
        if (tryRepeat(request)) {
            repeat(request);
            return;
        }
        engine.finish(request);
        responder.forwardResponse(request, failure);
    }

    /**
     * Sends a request again that a server may have run, or fails it.
     *
     * @param code result that the caller gets if the request is not sent again
     */
    void retryOrFail(ActiveRequest request, ResultCode code, String reason) {
        long deniedBefore = retryBudget.denied();
        if (tryRepeat(request)) {
            repeat(request);
            return;
        }
        boolean overBudget = retryBudget.denied() > deniedBefore;
        finish(request, code, 0, overBudget ? reason + "; the retry budget is used up" : reason);
    }

    /** Sends a request again, once the test of its last server has ended. */
    void repeat(ActiveRequest request) {
        if (!engine.crashGuard().awaitsTest(request)) {
            engine.submit(request);
        }
    }

    /** Refuses a request that another entry VM refused. */
    void refuseRelayed(ActiveRequest request, Failure failure) {
        // The deadline passed before a byte was relayed, so that no server has run the request.
        ResultCode code = failure.code() == ResultCode.DEADLINE_PASSED ? ResultCode.OVERLOADED : failure.code();
        finish(request, code, failure.retryAfterMillis(), failure.detail());
    }

    /** Returns whether a request that was sent may be sent once more, and takes that from the budget if so. */
    boolean tryRepeat(ActiveRequest request) {
        return request.route.repeatability().maySendAgain(true)
                && request.attemptsLeft() > 0
                && hasTimeToRetry(request)
                && retryBudget.tryTake(request.service, clockMillis.getAsLong());
    }

    private boolean takesRetry(ActiveRequest request, AttemptResult result) {
        long nowMillis = clockMillis.getAsLong();
        boolean atFullOwner = result == AttemptResult.REJECTED && request.key.isPresent();
        return atFullOwner
                ? retryBudget.tryTakeAtFullOwner(request.service, nowMillis)
                : retryBudget.tryTake(request.service, nowMillis);
    }

    private boolean hasTimeToRetry(ActiveRequest request) {
        return !request.callerDisconnected
                && request.deadlineMillis - clockMillis.getAsLong() > request.route.targetLatencyMillis() / 3;
    }
}

package org.lacewingthread.daemon.router;

import java.util.Optional;
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

    /** Refuses a request that can't be sent now; fails it if an earlier attempt may have run. */
    void refuse(ActiveRequest request, RefusalCause cause, long retryAfterMillis) {
        if (request.mayHaveRun) {
            engine.finish(request);
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "no second attempt: " + cause);
            return;
        }
        engine.finish(request);
        String limitedBy = cause == RefusalCause.LIMITED
                ? request.limitedServer.map(server -> " by " + server).orElse("")
                : "";
        responder.refuse(request, cause.resultCode(), cause + limitedBy, retryAfterMillis);
    }

    /** Refuses a request that could not be sent to several servers; fails it if an earlier attempt may have run. */
    void refuseUnsent(ActiveRequest request, String reason) {
        engine.finish(request);
        if (request.mayHaveRun) {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "no second attempt: " + reason);
        } else {
            responder.refuse(request, ResultCode.OWNER_UNREACHABLE, reason, REJECTED_RETRY_AFTER_MILLIS);
        }
    }

    /** Refuses a request under which servers ended; fails it if an earlier attempt may have run. */
    void refuseQuarantined(ActiveRequest request, long retryAfterMillis, String reason) {
        engine.finish(request);
        if (request.mayHaveRun) {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "no second attempt: " + reason);
        } else {
            responder.refuse(request, ResultCode.CRASHES_SERVERS, reason, retryAfterMillis);
        }
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
        engine.finish(request);
        if (request.mayHaveRun) {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "the server rejected a retry: " + result);
        } else {
            responder.refuse(
                    request,
                    ResultCode.OWNER_REFUSED,
                    "the server rejected the request: " + result,
                    Math.max(REJECTED_RETRY_AFTER_MILLIS, hopeless ? restMillis : 0));
        }
    }

    /**
     * Sends a request again that a server may have run, or fails it.
     *
     * @param failure response of the server that reports its failure, which is forwarded if the request is not sent again
     */
    void retryOrFail(ActiveRequest request, Optional<FullResponse> failure, String reason) {
        long deniedBefore = retryBudget.denied();
        if (tryRepeat(request)) {
            repeat(request);
            return;
        }
        engine.finish(request);
        boolean overBudget = retryBudget.denied() > deniedBefore;
        if (failure.isPresent()) {
            responder.forwardResponse(request, failure.get());
        } else {
            responder.failWithUnknownOutcome(
                    request, ResultCode.ANSWER_LOST, overBudget ? reason + "; the retry budget is used up" : reason);
        }
    }

    /** Sends a request again, once the test of its last server has ended. */
    void repeat(ActiveRequest request) {
        if (!engine.crashGuard().awaitsTest(request)) {
            engine.submit(request);
        }
    }

    /** Refuses a finished request that another entry VM refused; fails it if an earlier attempt may have run. */
    void refuseRelayed(ActiveRequest request, Failure failure) {
        if (request.mayHaveRun) {
            responder.failWithUnknownOutcome(request, ResultCode.ANSWER_LOST, "no second attempt: " + failure.detail());
        } else {
            // The deadline passed before a byte was relayed, so that no server has run the request.
            ResultCode code = failure.code() == ResultCode.DEADLINE_PASSED ? ResultCode.OVERLOADED : failure.code();
            responder.refuse(request, code, failure.detail(), failure.retryAfterMillis());
        }
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

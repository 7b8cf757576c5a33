package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/** A request that this VM is processing; passes exactly one final result on to its sink. */
final class PendingRequest {
    private final RoutedRequest request;
    private final ResponseSink sink;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile RequestHandler.Cancellation cancelAction = () -> {};
    private volatile boolean cancelled;
    private volatile boolean mayHaveRun;
    private DispatchAttempt answeringAttempt;
    private int attemptCount;
    private boolean hasRunningRecord;
    private LocalIdempotencyRecords.Admission admission;
    private volatile long holdUntilMillis = Long.MAX_VALUE;

    PendingRequest(RoutedRequest request, ResponseSink sink) {
        this.request = request;
        this.sink = sink;
    }

    RoutedRequest request() {
        return request;
    }

    ResponseSink sink() {
        return sink;
    }

    boolean isEnded() {
        return ended.get();
    }

    /** Returns whether an attempt was sent and not provably refused, so that the request may have run. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** Limits how long the request is held for a shard that is being reassigned; only the first limit counts. */
    void limitHoldUntil(long untilMillis) {
        if (holdUntilMillis == Long.MAX_VALUE && untilMillis != Long.MAX_VALUE) {
            holdUntilMillis = Math.min(untilMillis, request.deadlineMillis());
        }
    }

    long holdUntilMillis() {
        return holdUntilMillis;
    }

    void forwardHead(ResponseStatus status, List<HeaderField> headers) {
        if (!ended.get()) {
            sink.onHead(status, headers);
        }
    }

    void forwardBody(byte[] chunk, Runnable consumed) {
        if (ended.get()) {
            consumed.run();
            return;
        }
        sink.onBody(chunk, consumed);
    }

    void complete() {
        if (ended.compareAndSet(false, true)) {
            sink.onEnd();
        }
    }

    /** Ends the request with a failure; reports "outcome unknown" for "not run" if an earlier attempt may have run. */
    void fail(ResultCode code, long retryAfterMillis, String detail) {
        if (contradictsAttempts(code)) {
            fail(ResultCode.OUTCOME_UNKNOWN, retryAfterMillis, withEarlier(detail));
            return;
        }
        if (ended.compareAndSet(false, true)) {
            sink.onFailure(new Failure(code, retryAfterMillis, detail));
        }
    }

    /** Passes on the failure of the relay that responds to this request's sink, as {@link #fail} does for own ones. */
    void forwardRelayFailure(Failure failure) {
        sink.onFailure(
                contradictsAttempts(failure.code())
                        ? new Failure(
                                ResultCode.OUTCOME_UNKNOWN, failure.retryAfterMillis(), withEarlier(failure.detail()))
                        : failure);
    }

    private boolean contradictsAttempts(ResultCode code) {
        return mayHaveRun && code.knowledge() == ResultCode.Knowledge.NOT_RUN;
    }

    private static String withEarlier(String detail) {
        return "an earlier attempt may have run; then " + detail;
    }

    /** Assigns the response to the first attempt that claims it; returns whether the given attempt is that one. */
    boolean claimResponse(DispatchAttempt attempt) {
        if (answeringAttempt == null) {
            answeringAttempt = attempt;
        }
        return answeringAttempt == attempt;
    }

    /** Returns whether the response of an attempt was claimed, so that its head was passed on. */
    boolean hasResponseStarted() {
        return answeringAttempt != null;
    }

    int attemptCount() {
        return attemptCount;
    }

    void countAttempt() {
        attemptCount++;
    }

    /** Returns whether an idempotency record of this request is in the running state. */
    boolean hasRunningRecord() {
        return hasRunningRecord;
    }

    void setHasRunningRecord(boolean hasRunningRecord) {
        this.hasRunningRecord = hasRunningRecord;
    }

    /** Returns what the idempotency records based their decision on, or null if they made none. */
    LocalIdempotencyRecords.Admission admission() {
        return admission;
    }

    void setAdmission(LocalIdempotencyRecords.Admission newAdmission) {
        admission = newAdmission;
    }

    /** Ends the request without a response because its caller left; returns false if it had already ended. */
    boolean endAsCancelled() {
        return ended.compareAndSet(false, true);
    }

    /** Ends the request here because another entry VM responds to its sink; returns false if it had already ended. */
    boolean endAsRelayed() {
        return ended.compareAndSet(false, true);
    }

    void setCancelAction(RequestHandler.Cancellation action) {
        cancelAction = action;
    }

    void cancel() {
        cancelled = true;
        cancelAction.cancel();
    }

    /** Returns whether it is known that the caller has left; known on all threads before the request is cancelled on one. */
    boolean hasCallerLeft() {
        return cancelled || sink.isAbandoned();
    }
}

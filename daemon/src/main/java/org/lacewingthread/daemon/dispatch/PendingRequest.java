package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/** A request on its way through this VM; lets exactly one final answer through to its sink. */
final class PendingRequest {
    private final RoutedRequest request;
    private final ResponseSink sink;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile RequestHandler.Cancellation cancelAction = () -> {};
    private volatile boolean mayHaveRun;
    private DispatchAttempt answeringAttempt;
    private int attemptCount;
    private boolean hasRunningRecord;
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

    /** Returns whether an attempt was sent that is not proved to have been refused. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** Bounds how long the request is held for a shard in motion, counted from the first time. */
    void limitHoldUntil(long untilMillis) {
        if (holdUntilMillis == Long.MAX_VALUE && untilMillis != Long.MAX_VALUE) {
            holdUntilMillis = Math.min(untilMillis, request.deadlineMillis());
        }
    }

    long holdUntilMillis() {
        return holdUntilMillis;
    }

    void forwardHead(int status, List<HeaderField> headers) {
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

    /** Ends the request; never says "not run" of one that may have run in an earlier attempt. */
    void fail(ResultCode code, long retryAfterMillis, String detail) {
        if (mayHaveRun && code.knowledge() == ResultCode.Knowledge.NOT_RUN) {
            fail(ResultCode.OUTCOME_UNKNOWN, retryAfterMillis, "an earlier attempt may have run; then " + detail);
            return;
        }
        if (ended.compareAndSet(false, true)) {
            sink.onFailure(new Failure(code, retryAfterMillis, detail));
        }
    }

    /** Lets the first attempt that has an answer pass it on; returns whether an attempt is that one. */
    boolean claimResponse(DispatchAttempt attempt) {
        if (answeringAttempt == null) {
            answeringAttempt = attempt;
        }
        return answeringAttempt == attempt;
    }

    /** Returns whether the head of an answer was passed on. */
    boolean hasResponseStarted() {
        return answeringAttempt != null;
    }

    int attemptCount() {
        return attemptCount;
    }

    void countAttempt() {
        attemptCount++;
    }

    /** Returns whether the request has a running idempotency record. */
    boolean hasRunningRecord() {
        return hasRunningRecord;
    }

    void setHasRunningRecord(boolean isRecorded) {
        hasRunningRecord = isRecorded;
    }

    /** Ends the request without an answer, because its caller left. */
    boolean endAsCancelled() {
        return ended.compareAndSet(false, true);
    }

    /** Hands the request to another entry VM, which then answers its sink. */
    boolean endAsRelayed() {
        return ended.compareAndSet(false, true);
    }

    void setCancelAction(RequestHandler.Cancellation action) {
        cancelAction = action;
    }

    void cancel() {
        cancelAction.cancel();
    }
}

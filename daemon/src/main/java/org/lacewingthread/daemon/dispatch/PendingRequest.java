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
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile RequestHandler.Cancellation onCancelled = () -> {};
    private volatile boolean mayHaveRun;
    private DispatchAttempt answering;
    private int attempts;
    private boolean recorded;
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

    boolean isOver() {
        return over.get();
    }

    /** Returns whether an attempt was sent that is not proved to have been refused. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** Bounds how long the request is held for a shard in motion, counted from the first time. */
    void holdAtMostUntil(long untilMillis) {
        if (holdUntilMillis == Long.MAX_VALUE && untilMillis != Long.MAX_VALUE) {
            holdUntilMillis = Math.min(untilMillis, request.deadlineMillis());
        }
    }

    long holdUntilMillis() {
        return holdUntilMillis;
    }

    void head(int status, List<HeaderField> headers) {
        if (!over.get()) {
            sink.onHead(status, headers);
        }
    }

    void body(byte[] chunk, Runnable consumed) {
        if (over.get()) {
            consumed.run();
            return;
        }
        sink.onBody(chunk, consumed);
    }

    void end() {
        if (over.compareAndSet(false, true)) {
            sink.onEnd();
        }
    }

    /** Ends the request; never says "not run" of one that may have run in an earlier attempt. */
    void fail(ResultCode code, long retryAfterMillis, String detail) {
        if (mayHaveRun && code.knowledge() == ResultCode.Knowledge.NOT_RUN) {
            fail(ResultCode.OUTCOME_UNKNOWN, retryAfterMillis, "an earlier attempt may have run; then " + detail);
            return;
        }
        if (over.compareAndSet(false, true)) {
            sink.onFailure(new Failure(code, retryAfterMillis, detail));
        }
    }

    /** Lets the first attempt that has an answer pass it on; returns whether an attempt is that one. */
    boolean claimAnswer(DispatchAttempt attempt) {
        if (answering == null) {
            answering = attempt;
        }
        return answering == attempt;
    }

    /** Returns whether the head of an answer was passed on. */
    boolean isAnswering() {
        return answering != null;
    }

    int attempts() {
        return attempts;
    }

    void countAttempt() {
        attempts++;
    }

    /** Returns whether the request has a running idempotency record. */
    boolean isRecorded() {
        return recorded;
    }

    void setRecorded(boolean isRecorded) {
        recorded = isRecorded;
    }

    /** Ends the request without an answer, because its caller left. */
    boolean detach() {
        return over.compareAndSet(false, true);
    }

    /** Hands the request to another entry VM, which then answers its sink. */
    boolean handOver() {
        return over.compareAndSet(false, true);
    }

    void whenCancelled(RequestHandler.Cancellation action) {
        onCancelled = action;
    }

    void cancel() {
        onCancelled.cancel();
    }
}

package org.lacewingthread.daemon.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.lacewingthread.daemon.backend.BackendConnectionPool;
import org.lacewingthread.daemon.backend.BackendRequest;
import org.lacewingthread.daemon.backend.BackendResponseHandler;
import org.lacewingthread.daemon.backend.SendPermit;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioExecutor;

/** One attempt to send a request to its server and receive the response; confined to the dispatcher's I/O thread. */
final class DispatchAttempt implements BackendResponseHandler {
    private static final String NOT_RUN_HEADER = "Lacewingthread-Not-Run";
    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long NOT_SENT = -1;

    private final ServerDispatcher dispatcher;
    private final PendingRequest pending;
    private final ByteArrayOutputStream recordedBody = new ByteArrayOutputStream();
    private BackendConnectionPool.Handle handle;
    private XnioExecutor.Key deadlineTimer = XnioExecutor.Key.IMMEDIATE;
    private long sentMillis = NOT_SENT;
    private boolean responseStarted;
    private boolean refused;
    /** Whether the server ran the request and answered with a status that promises that it did not. */
    private boolean falselyPromised;

    private boolean ended;
    private boolean holdsSlot = true;
    private boolean bodyTooLarge;
    private long retryAfterMillis;
    private int status;
    private List<HeaderField> headers = List.of();

    DispatchAttempt(ServerDispatcher dispatcher, PendingRequest pending) {
        this.dispatcher = dispatcher;
        this.pending = pending;
    }

    /**
     * Sends the request.
     *
     * @param connectionUsedAfterMillis time after which a pooled connection must have been used to be reused
     */
    void start(BackendConnectionPool connections, long connectionUsedAfterMillis) {
        RoutedRequest request = pending.request();
        long leftMillis = Math.max(1, request.deadlineMillis() - dispatcher.nowMillis());
        deadlineTimer = dispatcher.ioThread().executeAfter(this::onDeadline, leftMillis, TimeUnit.MILLISECONDS);
        BackendRequest call = new BackendRequest(
                request.requestId(), request.method(), request.path(), request.headers(), request.body(), true);
        BackendConnectionPool.Handle sent = connections.sendOnRecentlyUsed(call, this, connectionUsedAfterMillis);
        handle = sent;
        if (ended) {
            sent.abandon();
        }
    }

    PendingRequest pending() {
        return pending;
    }

    boolean wasSent() {
        return sentMillis != NOT_SENT;
    }

    boolean isAwaitingHead() {
        return wasSent() && !responseStarted && !ended;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** Returns whether the attempt was sent and its response is still awaited. */
    boolean isAwaitingResponse() {
        return wasSent() && !ended;
    }

    /** Releases the slot of this attempt; returns whether it still held one. */
    boolean releaseSlot() {
        boolean held = holdsSlot;
        holdsSlot = false;
        return held;
    }

    long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Stops waiting for the response; nothing more is reported to the dispatcher. */
    void abandon() {
        ended = true;
        deadlineTimer.remove();
        if (handle != null) {
            handle.abandon();
        }
    }

    /** Returns the response as the outcome to store in the idempotency record. */
    Outcome outcome() {
        List<String> flat = new ArrayList<>();
        for (HeaderField field : headers) {
            flat.add(field.name());
            flat.add(field.value());
        }
        return new Outcome(status, flat, bodyTooLarge ? null : recordedBody.toByteArray());
    }

    @Override
    public Optional<SendPermit> permitSend() {
        Optional<SendPermit> permit = ended ? Optional.empty() : dispatcher.permitSend(pending);
        if (permit.isPresent()) {
            sentMillis = dispatcher.nowMillis();
            dispatcher.onSent(this);
        }
        return permit;
    }

    @Override
    public void onHead(int responseStatus, List<HeaderField> responseHeaders) {
        if (ended) {
            return;
        }
        responseStarted = true;
        status = responseStatus;
        headers = responseHeaders;
        dispatcher.onResponseStarted();
        boolean mayRefuse = status == STATUS_UNAVAILABLE || status == STATUS_CONFLICT;
        refused = mayRefuse && "1".equals(headerOf(NOT_RUN_HEADER));
        if (refused) {
            retryAfterMillis = parseSecondsToMillis(headerOf(RETRY_AFTER_HEADER));
            return;
        }
        Optional<ResponseStatus> forwarded = ResponseStatus.ofServer(status);
        falselyPromised = forwarded.isEmpty();
        if (falselyPromised) {
            return;
        }
        if (!pending.claimResponse(this)) {
            dispatcher.onSuperseded(this);
            return;
        }
        pending.forwardHead(forwarded.get(), headers);
    }

    private String headerOf(String name) {
        for (HeaderField field : headers) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    private static long parseSecondsToMillis(String text) {
        boolean isNumber = text != null && text.matches("[0-9]{1,4}");
        return isNumber ? TimeUnit.SECONDS.toMillis(Long.parseLong(text)) : 0;
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        if (ended || refused || falselyPromised) {
            consumed.run();
            return;
        }
        recordChunk(chunk);
        pending.forwardBody(chunk, consumed);
    }

    private void recordChunk(byte[] chunk) {
        if (!pending.hasRunningRecord() || bodyTooLarge) {
            return;
        }
        if (recordedBody.size() + chunk.length > dispatcher.maxRecordedBodyBytes()) {
            bodyTooLarge = true;
            recordedBody.reset();
            return;
        }
        recordedBody.writeBytes(chunk);
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        markEnded();
        if (refused) {
            // "Not run" is certain: the server said so itself.
            dispatcher.onNoOutcome(
                    this,
                    FailedAttempt.REFUSED_BEFORE_RUNNING,
                    ResultCode.OWNER_REFUSED,
                    "refused it before running it");
        } else if (falselyPromised) {
            dispatcher.onNoOutcome(
                    this,
                    FailedAttempt.MAY_HAVE_RUN,
                    ResultCode.SERVER_FAILED,
                    "answered " + status + ", but may have run it");
        } else {
            dispatcher.onResponseComplete(this);
        }
    }

    @Override
    public void onFailed(FailedAttempt known, String detail) {
        if (ended) {
            return;
        }
        markEnded();
        if (known == FailedAttempt.NEVER_SENT) {
            dispatcher.onNeverSent(this, detail);
        } else {
            dispatcher.onResponseLost(this, detail);
        }
    }

    private void onDeadline() {
        if (ended) {
            return;
        }
        abandon();
        dispatcher.onDeadline(this, responseStarted);
    }

    private void markEnded() {
        ended = true;
        deadlineTimer.remove();
    }
}

package org.lacewingthread.daemon.dispatch;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.RetryDecision.Attempt;
import org.lacewingthread.daemon.backend.BackendConnectionPool;
import org.lacewingthread.daemon.backend.BackendRequest;
import org.lacewingthread.daemon.backend.BackendResponseHandler;
import org.lacewingthread.daemon.backend.SendPermit;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioExecutor;

/** One attempt to have a request answered by a server; confined to the lane's I/O thread. */
final class DispatchAttempt implements BackendResponseHandler {
    private static final String NOT_RUN_HEADER = "Lacewingthread-Not-Run";
    private static final String RETRY_AFTER_HEADER = "Retry-After";
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final long NOT_SENT = -1;

    private final ServerLane lane;
    private final PendingRequest pending;
    private final ByteArrayOutputStream keptBody = new ByteArrayOutputStream();
    private BackendConnectionPool.Handle handle;
    private XnioExecutor.Key deadlineTimer = XnioExecutor.Key.IMMEDIATE;
    private long sentMillis = NOT_SENT;
    private boolean heard;
    private boolean refused;
    private boolean over;
    private boolean holdsSlot = true;
    private boolean bodyTooLarge;
    private long retryAfterMillis;
    private int status;
    private List<HeaderField> headers = List.of();

    DispatchAttempt(ServerLane lane, PendingRequest pending) {
        this.lane = lane;
        this.pending = pending;
    }

    void start(BackendConnectionPool connections) {
        RoutedRequest request = pending.request();
        long leftMillis = Math.max(1, request.deadlineMillis() - lane.nowMillis());
        deadlineTimer = lane.ioThread().executeAfter(this::onDeadline, leftMillis, TimeUnit.MILLISECONDS);
        BackendRequest call = new BackendRequest(
                request.requestId(), request.method(), request.path(), request.headers(), request.body(), true);
        BackendConnectionPool.Handle sent = connections.send(call, this);
        handle = sent;
        if (over) {
            sent.abandon();
        }
    }

    PendingRequest pending() {
        return pending;
    }

    boolean wasSent() {
        return sentMillis != NOT_SENT;
    }

    boolean isUnanswered() {
        return wasSent() && !heard && !over;
    }

    long sentMillis() {
        return sentMillis;
    }

    /** Returns whether the attempt was sent and its answer is still waited for. */
    boolean isAwaited() {
        return wasSent() && !over;
    }

    /** Takes the slot from the attempt; returns whether it held one. */
    boolean takeSlot() {
        boolean held = holdsSlot;
        holdsSlot = false;
        return held;
    }

    long retryAfterMillis() {
        return retryAfterMillis;
    }

    /** Gives up on the answer; nothing more is reported. */
    void abandon() {
        over = true;
        deadlineTimer.remove();
        if (handle != null) {
            handle.abandon();
        }
    }

    /** Returns the outcome for the idempotency record. */
    Outcome outcome() {
        List<String> flat = new ArrayList<>();
        for (HeaderField field : headers) {
            flat.add(field.name());
            flat.add(field.value());
        }
        return new Outcome(status, flat, bodyTooLarge ? null : keptBody.toByteArray());
    }

    @Override
    public Optional<SendPermit> permitSend() {
        Optional<SendPermit> permit = over ? Optional.empty() : lane.permitSend(pending);
        if (permit.isPresent()) {
            sentMillis = lane.nowMillis();
            lane.onSent(this);
        }
        return permit;
    }

    @Override
    public void onHead(int answerStatus, List<HeaderField> answerHeaders) {
        if (over) {
            return;
        }
        heard = true;
        status = answerStatus;
        headers = answerHeaders;
        lane.onHeard();
        boolean mayRefuse = status == STATUS_UNAVAILABLE || status == STATUS_CONFLICT;
        refused = mayRefuse && "1".equals(headerOf(NOT_RUN_HEADER));
        if (refused) {
            retryAfterMillis = secondsAsMillis(headerOf(RETRY_AFTER_HEADER));
            return;
        }
        if (!pending.claimAnswer(this)) {
            lane.onSuperseded(this);
            return;
        }
        pending.head(status, headers);
    }

    private String headerOf(String name) {
        for (HeaderField field : headers) {
            if (field.name().equalsIgnoreCase(name)) {
                return field.value();
            }
        }
        return null;
    }

    private static long secondsAsMillis(String text) {
        boolean isNumber = text != null && text.matches("[0-9]{1,4}");
        return isNumber ? TimeUnit.SECONDS.toMillis(Long.parseLong(text)) : 0;
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        if (over || refused) {
            consumed.run();
            return;
        }
        keep(chunk);
        pending.body(chunk, consumed);
    }

    private void keep(byte[] chunk) {
        if (!pending.isRecorded() || bodyTooLarge) {
            return;
        }
        if (keptBody.size() + chunk.length > lane.maxKeptBodyBytes()) {
            bodyTooLarge = true;
            keptBody.reset();
            return;
        }
        keptBody.writeBytes(chunk);
    }

    @Override
    public void onEnd() {
        if (over) {
            return;
        }
        close();
        if (refused) {
            lane.onRefused(this);
        } else {
            lane.onAnswered(this);
        }
    }

    @Override
    public void onFailed(Attempt known, String detail) {
        if (over) {
            return;
        }
        close();
        if (known == Attempt.NEVER_SENT) {
            lane.onNeverSent(this, detail);
        } else {
            lane.onLost(this, detail);
        }
    }

    private void onDeadline() {
        if (over) {
            return;
        }
        abandon();
        lane.onDeadline(this, heard);
    }

    private void close() {
        over = true;
        deadlineTimer.remove();
    }
}

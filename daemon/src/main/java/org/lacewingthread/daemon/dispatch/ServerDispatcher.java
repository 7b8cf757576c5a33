package org.lacewingthread.daemon.dispatch;

import io.undertow.connector.ByteBufferPool;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.traffic.Admission;
import org.lacewingthread.core.traffic.LoadMeter;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.core.traffic.RetryDecision;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.lacewingthread.core.traffic.ServerQueue;
import org.lacewingthread.daemon.backend.BackendConnectionPool;
import org.lacewingthread.daemon.backend.HealthProber;
import org.lacewingthread.daemon.backend.SendPermit;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioIoThread;

/**
 * Dispatches requests to one backend server: owns its queue, connections, requests in flight and health tracking.
 * Confined to one I/O thread, except {@link #submit}, {@link #drainedViewNumber} and the counts shown by metrics.
 */
final class ServerDispatcher {
    private static final String UNREACHABLE_DETAIL = "its server can't be reached";
    private static final long CONNECT_RETRY_MILLIS = 1_000;
    private static final long REFUSED_RETRY_MILLIS = 100;
    private static final long RESEND_DELAY_MILLIS = 10;

    private final ServerSpec server;
    private final ServerDispatcherContext context;
    private final XnioIoThread ioThread;
    private final BackendConnectionPool connections;
    private final ServerQueue<PendingRequest> queue;
    private final HealthProber probe;
    private final ServerHealthTracker healthTracker;
    private final ResendPolicy resendPolicy = new ResendPolicy();
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final SendPermitIssuer permitIssuer;
    private final LoadMeter loadMeter;
    private volatile long drainedViewNumber = -1;

    ServerDispatcher(ServerSpec server, ServerDispatcherContext context, XnioIoThread ioThread, ByteBufferPool pool) {
        this.server = server;
        this.context = context;
        this.ioThread = ioThread;
        this.connections = new BackendConnectionPool(
                server, BackendConnectionPool.Limits.forDispatcher(server), ioThread, pool, context.clockMillis());
        this.permitIssuer = new SendPermitIssuer(server.id(), context);
        this.queue = new ServerQueue<>(ServerQueue.Settings.of(server.slots()));
        this.loadMeter = new LoadMeter(server.id(), nowMillis());
        this.probe = new HealthProber(server.id(), connections, ioThread);
        this.healthTracker = new ServerHealthTracker(
                server.id(),
                probe,
                context.listener(),
                context.clockMillis(),
                this::freeSlotsOfLateAttempts,
                this::refuseQueued);
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    long nowMillis() {
        return context.clockMillis().getAsLong();
    }

    int maxRecordedBodyBytes() {
        return context.records().maxRecordedBodyBytes();
    }

    int queuedCount() {
        return queue.queued();
    }

    int connectionCount() {
        return connections.count();
    }

    void submit(PendingRequest pending) {
        pending.setCancelAction(() -> ioThread.execute(() -> onCancelled(pending)));
        ioThread.execute(() -> admit(pending));
    }

    private void admit(PendingRequest pending) {
        RoutedRequest request = pending.request();
        if (pending.isEnded()) {
            return;
        }
        if (!permitIssuer.isDispatchedHere(request)) {
            context.returnToRouter().accept(pending);
            return;
        }
        loadMeter.add(context.state().snapshot().shardOf(request), request.keyHash());
        if (!healthTracker.isResponding()) {
            // "Not run" is certain: the request was not queued, so it can't be sent.
            pending.fail(ResultCode.OWNER_UNREACHABLE, CONNECT_RETRY_MILLIS, UNREACHABLE_DETAIL);
            return;
        }
        if (context.records().admitOrAnswer(pending, ioThread, () -> admit(pending))) {
            resendPolicy.onFirstAttempt();
            enqueue(pending);
        }
    }

    private void enqueue(PendingRequest pending) {
        RoutedRequest request = pending.request();
        Admission admission =
                queue.offer(pending, request.keyHash(), request.requestClass(), request.deadlineMillis(), nowMillis());
        if (!admission.isQueued()) {
            refuse(pending, admission.refusal(), admission.retryAfterMillis(), "the queue of its server is full");
        }
        processQueue();
    }

    /** Ends a request without an attempt under way; reports "not run" only if no earlier attempt may have run. */
    private void refuse(PendingRequest pending, ResultCode code, long retryAfterMillis, String detail) {
        context.records().markNotRun(pending);
        pending.fail(code, retryAfterMillis, detail);
    }

    /** Sends queued requests while slots and lease allow, and ends those that can't meet their deadline. */
    private void processQueue() {
        for (ServerQueue.Dropped<PendingRequest> dropped : queue.takeDropped(nowMillis())) {
            // "Not run" is certain: the queue hands out each request once, and this one was dropped, not polled.
            refuse(dropped.value(), dropped.code(), dropped.retryAfterMillis(), "its deadline can't be met");
        }
        while (permitIssuer.hasDispatchLease()) {
            Optional<PendingRequest> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            startUnlessEnded(next.get());
        }
    }

    private void startUnlessEnded(PendingRequest pending) {
        if (pending.isEnded()) {
            context.records().markNotRun(pending);
            queue.freeSlot();
            return;
        }
        context.records().replicateBeforeSend(pending, ioThread, copied -> {
            if (!copied) {
                queue.freeSlot();
                // "Not run" is certain: the request is sent only after its record was copied.
                refuse(pending, ResultCode.NOT_READY, REFUSED_RETRY_MILLIS, "its record could not be copied");
                return;
            }
            startAttempt(pending, Long.MIN_VALUE);
        });
    }

    private void startAttempt(PendingRequest pending, long connectionUsedAfterMillis) {
        pending.countAttempt();
        new DispatchAttempt(this, pending).start(connections, connectionUsedAfterMillis);
    }

    Optional<SendPermit> permitSend(PendingRequest pending) {
        return permitIssuer.issuePermit(pending);
    }

    void onSent(DispatchAttempt attempt) {
        inFlight.add(attempt);
    }

    void onResponseStarted() {
        healthTracker.onResponseStarted();
    }

    /** Ends an attempt because another attempt of its request responded first. */
    void onSuperseded(DispatchAttempt attempt) {
        attempt.abandon();
        releaseUnansweredAttempt(attempt);
        processQueue();
    }

    void onResponseComplete(DispatchAttempt attempt) {
        inFlight.remove(attempt);
        long serviceMillis = nowMillis() - attempt.sentMillis();
        if (attempt.releaseSlot()) {
            queue.onAnswered((double) serviceMillis);
        }
        PendingRequest pending = attempt.pending();
        context.records().markDone(pending, attempt.outcome());
        pending.complete();
        abandonAttemptsOf(pending);
        processQueue();
    }

    /** Abandons the attempts of a request that still await a response. */
    private void abandonAttemptsOf(PendingRequest pending) {
        for (DispatchAttempt attempt : inFlight.awaitingResponseOf(pending)) {
            attempt.abandon();
            releaseUnansweredAttempt(attempt);
            probe.cancel(pending.request().requestId());
        }
    }

    /** Ends an attempt whose response is not passed on: the server refused the request, or answered with a false promise. */
    void onNoOutcome(DispatchAttempt attempt, FailedAttempt known, ResultCode code, String detail) {
        inFlight.remove(attempt);
        freeSlotOf(attempt);
        boolean notRun = known.isProvablyNotRun();
        if (!notRun) {
            attempt.pending().markMayHaveRun();
            healthTracker.onFalsePromise(detail);
        }
        long retryAfterMillis = notRun ? Math.max(REFUSED_RETRY_MILLIS, attempt.retryAfterMillis()) : 0;
        retryOrEnd(attempt.pending(), known, code, retryAfterMillis, "server \"" + server.id() + "\" " + detail);
    }

    void onNeverSent(DispatchAttempt attempt, String detail) {
        freeSlotOf(attempt);
        PendingRequest pending = attempt.pending();
        if (pending.isEnded()) {
            context.records().markNotRun(pending);
        } else if (!permitIssuer.isAdmissionValid(pending)) {
            releaseAndReturnToRouter(pending);
        } else if (!permitIssuer.hasDispatchLease()) {
            enqueue(pending);
        } else {
            healthTracker.onConnectFailed();
            // "Not run" is certain: the connection layer wrote no byte of it.
            retryOrEnd(pending, FailedAttempt.NEVER_SENT, ResultCode.OWNER_UNREACHABLE, CONNECT_RETRY_MILLIS, detail);
        }
        processQueue();
    }

    void onResponseLost(DispatchAttempt attempt, String detail) {
        releaseUnansweredAttempt(attempt);
        attempt.pending().markMayHaveRun();
        retryOrEnd(attempt.pending(), FailedAttempt.MAY_HAVE_RUN, ResultCode.ANSWER_LOST, 0, detail);
        processQueue();
    }

    void onDeadline(DispatchAttempt attempt, boolean responseStarted) {
        PendingRequest pending = attempt.pending();
        if (!attempt.wasSent()) {
            freeSlotOf(attempt);
            // "Not run" is certain: the attempt was abandoned before it asked for its permit to be sent.
            refuse(pending, ResultCode.DEADLINE_PASSED, REFUSED_RETRY_MILLIS, "no connection was free in time");
            processQueue();
            return;
        }
        releaseUnansweredAttempt(attempt);
        if (!responseStarted) {
            healthTracker.onNoResponse();
        }
        probe.cancel(pending.request().requestId());
        pending.markMayHaveRun();
        context.records().markMayHaveRun(pending);
        pending.fail(ResultCode.OUTCOME_UNKNOWN, 0, "no whole answer came before the deadline");
        processQueue();
    }

    /** Retries a request if the policy allows it, otherwise ends it. */
    private void retryOrEnd(PendingRequest pending, FailedAttempt last, ResultCode code, long waitMillis, String text) {
        if (!inFlight.awaitingResponseOf(pending).isEmpty()) {
            return;
        }
        if (pending.hasResponseStarted()) {
            context.records().markMayHaveRun(pending);
            pending.fail(ResultCode.ANSWER_LOST, 0, text);
            return;
        }
        RetryDecision decision = resendPolicy.decide(
                pending, last, healthTracker.isResponding(), queue.meanServiceMillis(), nowMillis());
        if (decision == RetryDecision.RETRY) {
            ioThread.executeAfter(() -> enqueue(pending), RESEND_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (decision == RetryDecision.REPORT_UNKNOWN) {
            context.records().markMayHaveRun(pending);
        }
        refuse(pending, code, waitMillis, text);
    }

    private void releaseAndReturnToRouter(PendingRequest pending) {
        context.records().markNotRun(pending);
        if (!pending.isEnded()) {
            context.returnToRouter().accept(pending);
        }
    }

    private void freeSlotOf(DispatchAttempt attempt) {
        if (attempt.releaseSlot()) {
            queue.freeSlot();
        }
    }

    /** Frees the slot of an attempt that may still run; it counts as in flight for draining until it can't run. */
    private void releaseUnansweredAttempt(DispatchAttempt attempt) {
        freeSlotOf(attempt);
        long leftMillis =
                Math.max(1, permitIssuer.latestExecutionMillis(attempt.pending().request()) - nowMillis());
        ioThread.executeAfter(() -> inFlight.remove(attempt), leftMillis, TimeUnit.MILLISECONDS);
    }

    private void onCancelled(PendingRequest pending) {
        if (queue.removeIf(queued -> queued == pending).isEmpty()) {
            onCancelledInFlight(pending);
            return;
        }
        // "Not run" is certain: the request was taken out of the queue before it was sent.
        refuse(pending, ResultCode.CANCELLED, 0, "the caller left");
    }

    /** Cancels a request in flight. If it must not run twice, it runs on, so that a repeat can get its outcome. */
    private void onCancelledInFlight(PendingRequest pending) {
        if (!pending.endAsCancelled() || !pending.request().requestClass().mayRepeat()) {
            return;
        }
        abandonAttemptsOf(pending);
        processQueue();
    }

    /** Returns requests that this VM no longer dispatches to the router, and sends what the new view allows. */
    void onViewPublished() {
        for (PendingRequest pending : queue.removeIf(queued -> !permitIssuer.isAdmissionValid(queued))) {
            releaseAndReturnToRouter(pending);
        }
        updateDrainedView();
        processQueue();
    }

    /** Closes idle connections while another VM dispatches for the server; requests in flight continue. */
    void tickWhileInactive() {
        onViewPublished();
        connections.closeIdle();
    }

    private void updateDrainedView() {
        long viewNumber = permitIssuer.viewNumber();
        if (viewNumber > drainedViewNumber && inFlight.allMatch(permitIssuer::isDispatchedHere)) {
            drainedViewNumber = viewNumber;
            context.onDrained().run();
        }
    }

    /** Returns the number of the newest view whose removed routes have no request in flight; for any thread. */
    long drainedViewNumber() {
        return drainedViewNumber;
    }

    ServerLoad measureLoad() {
        return loadMeter.measureAndReset(nowMillis());
    }

    /** Hedges late requests, probes the server and sends queued requests; called every few tens of milliseconds. */
    void tick() {
        long nowMillis = nowMillis();
        long oldestSentMillis = Long.MAX_VALUE;
        for (DispatchAttempt attempt : inFlight.awaitingHead()) {
            oldestSentMillis = Math.min(oldestSentMillis, attempt.sentMillis());
            hedgeIfLate(attempt, nowMillis);
        }
        healthTracker.tick(oldestSentMillis);
        updateDrainedView();
        processQueue();
    }

    private void hedgeIfLate(DispatchAttempt attempt, long nowMillis) {
        boolean wanted = resendPolicy.shouldHedge(attempt, queue.upperBoundServiceMillis(), nowMillis);
        if (wanted && permitIssuer.hasDispatchLease() && queue.tryTakeIdleSlot()) {
            if (resendPolicy.tryTakeHedge()) {
                startAttempt(attempt.pending(), attempt.sentMillis());
            } else {
                queue.freeSlot();
            }
        }
    }

    /**
     * Frees the slots of requests that stay unanswered while new connections work. Their responses are still
     * awaited until their deadlines, each on its own connection.
     */
    private void freeSlotsOfLateAttempts(long probeStartedMillis) {
        for (DispatchAttempt attempt : inFlight.awaitingHead()) {
            if (ResendPolicy.isLate(attempt, 4 * queue.upperBoundServiceMillis(), probeStartedMillis)) {
                freeSlotOf(attempt);
            }
        }
        processQueue();
    }

    private void refuseQueued() {
        for (PendingRequest pending : queue.removeIf(queued -> true)) {
            // "Not run" is certain: the request was taken out of the queue before it was sent.
            refuse(pending, ResultCode.OWNER_UNREACHABLE, CONNECT_RETRY_MILLIS, UNREACHABLE_DETAIL);
        }
    }

    void close() {
        connections.close();
    }
}

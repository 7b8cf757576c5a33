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
import org.lacewingthread.core.traffic.RetryDecision.Attempt;
import org.lacewingthread.core.traffic.ServerQueue;
import org.lacewingthread.daemon.backend.BackendConnectionPool;
import org.lacewingthread.daemon.backend.HealthProber;
import org.lacewingthread.daemon.backend.SendPermit;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioIoThread;

/**
 * Everything that this VM does for one backend server: its queue, connections, requests in flight
 * and observations. Confined to one I/O thread; other threads only {@link #submit} to it.
 */
final class ServerLane {
    private static final String UNREACHABLE = "its server can't be reached";
    private static final long UNREACHABLE_RETRY_MILLIS = 1_000;
    private static final long REFUSED_RETRY_MILLIS = 100;
    private static final long RESEND_DELAY_MILLIS = 10;

    private final ServerSpec server;
    private final LaneContext context;
    private final XnioIoThread ioThread;
    private final BackendConnectionPool connections;
    private final ServerQueue<PendingRequest> queue;
    private final HealthProber probe;
    private final ServerHealth health;
    private final ResendPolicy resends = new ResendPolicy();
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final SendGate gate;
    private final LoadMeter load;
    private volatile long drainedView = -1;

    ServerLane(ServerSpec server, LaneContext context, XnioIoThread ioThread, ByteBufferPool buffers) {
        this.server = server;
        this.context = context;
        this.ioThread = ioThread;
        this.connections = new BackendConnectionPool(
                server, BackendConnectionPool.Limits.forDispatcher(server), ioThread, buffers, context.clockMillis());
        this.gate = new SendGate(server.id(), context.state(), context.clockMillis(), context.startByMillis());
        this.queue = new ServerQueue<>(ServerQueue.Settings.of(server.slots()));
        this.load = new LoadMeter(server.id(), nowMillis());
        this.probe = new HealthProber(server.id(), connections, ioThread);
        this.health = new ServerHealth(
                server.id(),
                probe,
                context.listener(),
                context.clockMillis(),
                this::freeSlotsOfSilent,
                this::refuseQueued);
    }

    XnioIoThread ioThread() {
        return ioThread;
    }

    long nowMillis() {
        return context.clockMillis().getAsLong();
    }

    int maxKeptBodyBytes() {
        return context.records().maxBodyBytes();
    }

    int queued() {
        return queue.queued();
    }

    int connectionCount() {
        return connections.count();
    }

    /** Takes a request in; safe on any thread. */
    void submit(PendingRequest pending) {
        pending.whenCancelled(() -> ioThread.execute(() -> onCancelled(pending)));
        ioThread.execute(() -> admit(pending));
    }

    private void admit(PendingRequest pending) {
        RoutedRequest request = pending.request();
        if (pending.isOver()) {
            return;
        }
        if (!gate.isLocal(request)) {
            context.giveBack().accept(pending);
            return;
        }
        load.add(context.state().snapshot().shardOf(request), request.keyHash());
        if (!health.isAnswering()) {
            // Proof of "not run": the request was not queued, so it can't be sent.
            pending.fail(ResultCode.OWNER_UNREACHABLE, UNREACHABLE_RETRY_MILLIS, UNREACHABLE);
            return;
        }
        if (context.records().begin(pending, ioThread, () -> admit(pending))) {
            resends.onFirstAttempt();
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
        pump();
    }

    /** Ends a request that is in no attempt; it says "not run" only if no earlier attempt may have run. */
    private void refuse(PendingRequest pending, ResultCode code, long retryAfterMillis, String detail) {
        context.records().release(pending);
        pending.fail(code, retryAfterMillis, detail);
    }

    /** Sends what may be sent, and ends what can't be answered in time any more. */
    private void pump() {
        for (ServerQueue.GivenUp<PendingRequest> givenUp : queue.takeGivenUp(nowMillis())) {
            // Proof of "not run": the queue hands out each request once, and hands out this one as given up.
            refuse(givenUp.value(), givenUp.code(), givenUp.retryAfterMillis(), "its deadline can't be met");
        }
        while (gate.holdsLease()) {
            Optional<PendingRequest> next = queue.poll();
            if (next.isEmpty()) {
                return;
            }
            startUnlessOver(next.get());
        }
    }

    private void startUnlessOver(PendingRequest pending) {
        if (pending.isOver()) {
            context.records().release(pending);
            queue.freeSlot();
            return;
        }
        context.records().copyBeforeSend(pending, ioThread, copied -> {
            if (!copied) {
                queue.freeSlot();
                // Proof of "not run": the request is sent only after its record was copied.
                refuse(pending, ResultCode.NOT_READY, REFUSED_RETRY_MILLIS, "its record could not be copied");
                return;
            }
            startAttempt(pending);
        });
    }

    private void startAttempt(PendingRequest pending) {
        pending.countAttempt();
        new DispatchAttempt(this, pending).start(connections);
    }

    Optional<SendPermit> permitSend(PendingRequest pending) {
        return gate.permit(pending);
    }

    void onSent(DispatchAttempt attempt) {
        inFlight.add(attempt);
    }

    void onHeard() {
        health.onHeard();
    }

    /** Another attempt of the request answered first. */
    void onSuperseded(DispatchAttempt attempt) {
        attempt.abandon();
        endUnanswered(attempt);
        pump();
    }

    void onAnswered(DispatchAttempt attempt) {
        inFlight.remove(attempt);
        long serviceMillis = nowMillis() - attempt.sentMillis();
        if (attempt.takeSlot()) {
            queue.onAnswered((double) serviceMillis);
        }
        PendingRequest pending = attempt.pending();
        context.records().done(pending, attempt.outcome());
        pending.end();
        abandonAttemptsOf(pending);
        pump();
    }

    /** Gives up on what the attempts of a request still wait for. */
    private void abandonAttemptsOf(PendingRequest pending) {
        for (DispatchAttempt attempt : inFlight.awaitedOf(pending)) {
            attempt.abandon();
            endUnanswered(attempt);
            probe.cancel(pending.request().requestId());
        }
    }

    void onRefused(DispatchAttempt attempt) {
        inFlight.remove(attempt);
        freeSlotOf(attempt);
        long retryAfterMillis = Math.max(REFUSED_RETRY_MILLIS, attempt.retryAfterMillis());
        // Proof of "not run": the server said so itself.
        settle(
                attempt.pending(),
                Attempt.REFUSED_BEFORE_RUNNING,
                ResultCode.OWNER_REFUSED,
                retryAfterMillis,
                "server \"" + server.id() + "\" refused it before running it");
    }

    void onNeverSent(DispatchAttempt attempt, String detail) {
        freeSlotOf(attempt);
        PendingRequest pending = attempt.pending();
        if (pending.isOver()) {
            context.records().release(pending);
        } else if (!gate.isLocal(pending.request())) {
            giveBack(pending);
        } else if (!gate.holdsLease()) {
            enqueue(pending);
        } else {
            health.onConnectFailed();
            // Proof of "not run": the connection layer wrote no byte of it.
            settle(pending, Attempt.NEVER_SENT, ResultCode.OWNER_UNREACHABLE, UNREACHABLE_RETRY_MILLIS, detail);
        }
        pump();
    }

    void onLost(DispatchAttempt attempt, String detail) {
        endUnanswered(attempt);
        attempt.pending().markMayHaveRun();
        settle(attempt.pending(), Attempt.MAY_HAVE_RUN, ResultCode.ANSWER_LOST, 0, detail);
        pump();
    }

    void onDeadline(DispatchAttempt attempt, boolean heard) {
        PendingRequest pending = attempt.pending();
        if (!attempt.wasSent()) {
            freeSlotOf(attempt);
            // Proof of "not run": the attempt was abandoned before it asked for its permit to be sent.
            refuse(pending, ResultCode.DEADLINE_PASSED, REFUSED_RETRY_MILLIS, "no connection was free in time");
            pump();
            return;
        }
        endUnanswered(attempt);
        if (!heard) {
            health.onUnanswered();
        }
        probe.cancel(pending.request().requestId());
        pending.markMayHaveRun();
        context.records().mayHaveRun(pending);
        pending.fail(ResultCode.OUTCOME_UNKNOWN, 0, "no whole answer came before the deadline");
        pump();
    }

    /** Sends a request again if that is allowed, or ends it. */
    private void settle(PendingRequest pending, Attempt known, ResultCode code, long retryAfterMillis, String detail) {
        if (!inFlight.awaitedOf(pending).isEmpty()) {
            return;
        }
        if (pending.isAnswering()) {
            context.records().mayHaveRun(pending);
            pending.fail(ResultCode.ANSWER_LOST, 0, detail);
            return;
        }
        RetryDecision decision =
                resends.decide(pending, known, health.isAnswering(), queue.meanServiceMillis(), nowMillis());
        if (decision == RetryDecision.RETRY) {
            ioThread.executeAfter(() -> enqueue(pending), RESEND_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        if (decision == RetryDecision.REPORT_UNKNOWN) {
            context.records().mayHaveRun(pending);
        }
        refuse(pending, code, retryAfterMillis, detail);
    }

    private void giveBack(PendingRequest pending) {
        context.records().release(pending);
        if (!pending.isOver()) {
            context.giveBack().accept(pending);
        }
    }

    private void freeSlotOf(DispatchAttempt attempt) {
        if (attempt.takeSlot()) {
            queue.freeSlot();
        }
    }

    /** Ends an attempt that may still run at the server; for draining it counts until it can't any more. */
    private void endUnanswered(DispatchAttempt attempt) {
        freeSlotOf(attempt);
        long leftMillis = Math.max(1, gate.endedByMillis(attempt.pending().request()) - nowMillis());
        ioThread.executeAfter(() -> inFlight.remove(attempt), leftMillis, TimeUnit.MILLISECONDS);
    }

    private void onCancelled(PendingRequest pending) {
        if (queue.removeIf(queued -> queued == pending).isEmpty()) {
            onCancelledInFlight(pending);
            return;
        }
        // Proof of "not run": the request was taken out of the queue before it was sent.
        refuse(pending, ResultCode.CANCELLED, 0, "the caller left");
    }

    /** A request that must not repeat runs on, so that a repeat can get its outcome. */
    private void onCancelledInFlight(PendingRequest pending) {
        if (!pending.detach() || !pending.request().requestClass().mayRepeat()) {
            return;
        }
        abandonAttemptsOf(pending);
        pump();
    }

    /** Takes in a new view. */
    void onView() {
        for (PendingRequest pending : queue.removeIf(queued -> !gate.isLocal(queued.request()))) {
            giveBack(pending);
        }
        noteDrained();
        pump();
    }

    /** Holds nothing ready while another VM dispatches for the server; what is in flight goes on. */
    void rest() {
        onView();
        connections.closeIdle();
    }

    private void noteDrained() {
        long viewNumber = gate.viewNumber();
        if (viewNumber > drainedView && inFlight.allMatch(gate::isLocal)) {
            drainedView = viewNumber;
            context.onDrained().run();
        }
    }

    /** Returns the newest view of whose removals nothing is in flight; safe on any thread. */
    long drainedView() {
        return drainedView;
    }

    /** Returns the load since the last call; on the lane's I/O thread. */
    ServerLoad measureLoad() {
        return load.measure(nowMillis());
    }

    /** Runs checks that depend on time; called every few tens of milliseconds. */
    void tick() {
        long nowMillis = nowMillis();
        long oldestSentMillis = Long.MAX_VALUE;
        for (DispatchAttempt attempt : inFlight.unanswered()) {
            oldestSentMillis = Math.min(oldestSentMillis, attempt.sentMillis());
            hedgeIfLate(attempt, nowMillis);
        }
        health.tick(oldestSentMillis);
        noteDrained();
        pump();
    }

    private void hedgeIfLate(DispatchAttempt attempt, long nowMillis) {
        boolean wanted = resends.wantsHedge(attempt, queue.highServiceMillis(), nowMillis);
        if (wanted && gate.holdsLease() && queue.tryTakeIdleSlot()) {
            if (resends.tryTakeHedge()) {
                startAttempt(attempt.pending());
            } else {
                queue.freeSlot();
            }
        }
    }

    /**
     * Frees the slots of requests that stay unanswered while new connections work. Their answers are
     * still awaited, each on its own connection, until their deadlines.
     */
    private void freeSlotsOfSilent(long probeStartedMillis) {
        for (DispatchAttempt attempt : inFlight.unanswered()) {
            if (ResendPolicy.isLate(attempt, 4 * queue.highServiceMillis(), probeStartedMillis)) {
                freeSlotOf(attempt);
            }
        }
        pump();
    }

    private void refuseQueued() {
        for (PendingRequest pending : queue.removeIf(queued -> true)) {
            // Proof of "not run": the request was taken out of the queue before it was sent.
            refuse(pending, ResultCode.OWNER_UNREACHABLE, UNREACHABLE_RETRY_MILLIS, UNREACHABLE);
        }
    }

    void close() {
        connections.close();
    }
}

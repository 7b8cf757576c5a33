package org.lacewingthread.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Runs the requests of a backend server: admits them to its slots and queue, checks leases and idempotency
 * keys, and sends the answers with the configured faults.
 */
final class RequestRunner {
    private static final int MAX_REMEMBERED_KEYS = 100_000;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int CONFLICT = 409;

    private final BackendSettings settings;
    private final StandInServer server;
    private final PausableExecutor executor;
    private final LongSupplier microClock;
    private final RunJournal journal;
    private final LeaseTable leases;
    private final Queue<ReceivedRequest> queue = new ArrayDeque<>();
    private final Map<String, Integer> runningByShard = new HashMap<>();
    private final Map<String, Outcome> outcomesByKey = new LinkedHashMap<>();
    private final List<PendingRelease> pendingReleases = new ArrayList<>();
    private BackendFaults faults = BackendFaults.NONE;
    private int runningCount;
    private Answer lastAnswer;

    /** Answer to the first request with an idempotency key, and repeats that wait for it; no body while it runs. */
    private static final class Outcome {
        private final List<ReceivedRequest> repeats = new ArrayList<>();
        private byte[] body;
    }

    private record PendingRelease(List<String> shards, Runnable onDone) {}

    private record AnswerBody(String server, String request, String method, String path, long run, String padding) {}

    RequestRunner(BackendSettings settings, StandInServer server, PausableExecutor executor, LongSupplier microClock) {
        this.settings = settings;
        this.server = server;
        this.executor = executor;
        this.microClock = microClock;
        this.leases = new LeaseTable(settings.server());
        this.journal = new RunJournal(settings.journalLimit());
    }

    RunJournal journal() {
        return journal;
    }

    synchronized BackendFaults faults() {
        return faults;
    }

    synchronized void setFaults(BackendFaults value) {
        faults = value;
    }

    /** Runs a request, queues it until a slot is free, or refuses it. */
    synchronized void submit(ReceivedRequest request) {
        if (faults.shedding()) {
            BackendRefusals.refuse(request.exchange(), SERVICE_UNAVAILABLE, "the server sheds load");
            return;
        }
        if (runningCount >= settings.slots() && queue.size() >= settings.queueLimit()) {
            BackendRefusals.refuse(request.exchange(), SERVICE_UNAVAILABLE, "all slots and the queue are taken");
            return;
        }
        queue.add(request);
        startQueuedRequests();
    }

    private void startQueuedRequests() {
        while (runningCount < settings.slots() && !queue.isEmpty()) {
            startUnlessRefused(queue.remove());
        }
    }

    private void startUnlessRefused(ReceivedRequest request) {
        if (microClock.getAsLong() > request.startByMicros() && !faults.ignoresStartBy()) {
            BackendRefusals.refuse(request.exchange(), SERVICE_UNAVAILABLE, "the start-by time has passed");
            return;
        }
        Optional<String> refusal = settings.checksTokens()
                ? leases.refusalReason(request.shard(), request.token(), microClock.getAsLong())
                : Optional.empty();
        if (refusal.isPresent()) {
            BackendRefusals.refuse(request.exchange(), CONFLICT, refusal.get());
            return;
        }
        if (!answerIfRepeated(request)) {
            start(request);
        }
    }

    /**
     * Answers a request whose idempotency key was seen before, immediately or when the first request ends. Records
     * a key that is new.
     *
     * @return whether the request is a repeat, which must not run
     */
    private boolean answerIfRepeated(ReceivedRequest request) {
        if (!settings.recognisesIdempotencyKeys() || request.idempotencyKey() == null) {
            return false;
        }
        Outcome first = outcomesByKey.get(request.idempotencyKey());
        if (first == null) {
            outcomesByKey.put(request.idempotencyKey(), new Outcome());
            if (outcomesByKey.size() > MAX_REMEMBERED_KEYS) {
                outcomesByKey.remove(outcomesByKey.keySet().iterator().next());
            }
            return false;
        }
        if (first.body == null) {
            first.repeats.add(request);
        } else {
            sendAnswer(request, first.body);
        }
        return true;
    }

    private void start(ReceivedRequest request) {
        runningCount++;
        runningByShard.merge(String.valueOf(request.shard()), 1, Integer::sum);
        long run = journal.recordStart(request.toRun(settings.server(), microClock.getAsLong()));
        Runnable end = () -> executor.run(() -> finish(request, run));
        long millis = serviceMillis(request.path());
        if (millis == 0) {
            request.exchange().getIoThread().execute(end);
        } else {
            server.schedule(millis, end);
        }
    }

    private long serviceMillis(String path) {
        long defaultMillis = faults.serviceMillis() == null ? settings.serviceMillis() : faults.serviceMillis();
        return faults.serviceMillisByPath().entrySet().stream()
                .filter(entry -> path.startsWith(entry.getKey()))
                .max(Map.Entry.comparingByKey((one, other) -> Integer.compare(one.length(), other.length())))
                .map(Map.Entry::getValue)
                .orElse(defaultMillis);
    }

    private synchronized void finish(ReceivedRequest request, long run) {
        runningCount--;
        runningByShard.computeIfPresent(
                String.valueOf(request.shard()), (shard, count) -> count == 1 ? null : count - 1);
        journal.recordEnd(run, microClock.getAsLong());
        byte[] body = answerBody(request, run);
        sendAnswer(request, body);
        Outcome outcome = outcomesByKey.get(request.idempotencyKey());
        if (outcome != null) {
            outcome.body = body;
            outcome.repeats.forEach(repeat -> sendAnswer(repeat, body));
            outcome.repeats.clear();
        }
        startQueuedRequests();
        answerCompletedReleases();
    }

    private byte[] answerBody(ReceivedRequest request, long run) {
        return HttpExchanges.toJsonBytes(new AnswerBody(
                settings.server(),
                request.requestId(),
                request.method(),
                request.path(),
                run,
                "x".repeat(settings.answerBytes())));
    }

    private void sendAnswer(ReceivedRequest request, byte[] body) {
        Answer answer = new Answer(request.requestId(), body);
        AnswerSender sender = new AnswerSender(request.exchange(), server, faults.answerDelayMillis(), lastAnswer);
        lastAnswer = answer;
        consumeAnswerFault().deliver(sender, answer);
    }

    /** Returns the fault of the next answer and counts it down if it applies to a limited number. */
    private AnswerFault consumeAnswerFault() {
        AnswerFault fault = faults.answerFault();
        if (faults.answerFaultCount() == 1) {
            faults = faults.withAnswerFault(AnswerFault.NONE, 0);
        } else if (faults.answerFaultCount() > 1) {
            faults = faults.withAnswerFault(fault, faults.answerFaultCount() - 1);
        }
        return fault;
    }

    /** Removes a request from the queue and refuses it; a running request is not affected. */
    synchronized void cancel(String requestId) {
        List<ReceivedRequest> cancelled = queue.stream()
                .filter(waiting -> requestId.equals(waiting.requestId()))
                .toList();
        queue.removeAll(cancelled);
        cancelled.forEach(waiting ->
                BackendRefusals.refuse(waiting.exchange(), SERVICE_UNAVAILABLE, "the request was cancelled"));
    }

    /** Grants or renews leases; returns false, with nothing changed, if a higher token was seen for a shard. */
    synchronized boolean grant(List<LeaseTable.ShardGrant> grants, long leaseMillis, long receivedMicros) {
        long untilMicros = receivedMicros + TimeUnit.MILLISECONDS.toMicros(leaseMillis);
        return leases.grant(grants, microClock.getAsLong(), untilMicros);
    }

    /**
     * Ends the leases on the shards, then runs a task as soon as no request of these shards runs any more.
     *
     * @return false, with nothing changed, if a higher token was seen for one of the shards
     */
    synchronized boolean release(List<String> shards, String token, Runnable onDone) {
        if (!leases.release(shards, token, microClock.getAsLong())) {
            return false;
        }
        pendingReleases.add(new PendingRelease(shards, onDone));
        answerCompletedReleases();
        return true;
    }

    private void answerCompletedReleases() {
        List<PendingRelease> done = pendingReleases.stream()
                .filter(release -> release.shards().stream().noneMatch(runningByShard::containsKey))
                .toList();
        pendingReleases.removeAll(done);
        done.forEach(release -> release.onDone().run());
    }

    /** Returns the number of running and queued requests divided by the number of slots. */
    synchronized double load() {
        return (double) (runningCount + queue.size()) / settings.slots();
    }

    synchronized List<String> heldShards() {
        return leases.heldShards(microClock.getAsLong());
    }

    synchronized List<LeasePeriod> leasePeriods() {
        return leases.leasePeriods();
    }
}

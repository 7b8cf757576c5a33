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

/** Slots, queue and leases of a backend server. */
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

    /** Outcome of the request that first came with an idempotency key. */
    private static final class Outcome {
        private final List<ReceivedRequest> repeats = new ArrayList<>();
        private byte[] body;
    }

    private record PendingRelease(List<String> shards, Runnable onDone) {}

    private record AnswerBody(String server, String request, String method, String path, long run, String padding) {}

    RequestRunner(BackendSettings settings, StandInServer server, PausableExecutor freezer, LongSupplier microClock) {
        this.settings = settings;
        this.server = server;
        this.executor = freezer;
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

    /** Runs a request, lets it wait for a slot, or refuses it. */
    synchronized void submit(ReceivedRequest arrival) {
        if (faults.shedding()) {
            BackendRefusals.refuse(arrival.exchange(), SERVICE_UNAVAILABLE, "the server sheds load");
            return;
        }
        if (runningCount >= settings.slots() && queue.size() >= settings.queueLimit()) {
            BackendRefusals.refuse(arrival.exchange(), SERVICE_UNAVAILABLE, "all slots and the queue are taken");
            return;
        }
        queue.add(arrival);
        startQueuedRequests();
    }

    private void startQueuedRequests() {
        while (runningCount < settings.slots() && !queue.isEmpty()) {
            startUnlessRefused(queue.remove());
        }
    }

    private void startUnlessRefused(ReceivedRequest arrival) {
        if (microClock.getAsLong() > arrival.startByMicros() && !faults.ignoresStartBy()) {
            BackendRefusals.refuse(arrival.exchange(), SERVICE_UNAVAILABLE, "the start-by time has passed");
            return;
        }
        Optional<String> refusal = settings.checksTokens()
                ? leases.refusalReason(arrival.shard(), arrival.token(), microClock.getAsLong())
                : Optional.empty();
        if (refusal.isPresent()) {
            BackendRefusals.refuse(arrival.exchange(), CONFLICT, refusal.get());
            return;
        }
        if (!answerIfRepeated(arrival)) {
            start(arrival);
        }
    }

    private boolean answerIfRepeated(ReceivedRequest arrival) {
        if (!settings.recognisesIdempotencyKeys() || arrival.idempotencyKey() == null) {
            return false;
        }
        Outcome first = outcomesByKey.get(arrival.idempotencyKey());
        if (first == null) {
            outcomesByKey.put(arrival.idempotencyKey(), new Outcome());
            if (outcomesByKey.size() > MAX_REMEMBERED_KEYS) {
                outcomesByKey.remove(outcomesByKey.keySet().iterator().next());
            }
            return false;
        }
        if (first.body == null) {
            first.repeats.add(arrival);
        } else {
            sendAnswer(arrival, first.body);
        }
        return true;
    }

    private void start(ReceivedRequest arrival) {
        runningCount++;
        runningByShard.merge(String.valueOf(arrival.shard()), 1, Integer::sum);
        long run = journal.recordStart(arrival.toRun(settings.server(), microClock.getAsLong()));
        Runnable end = () -> executor.run(() -> finish(arrival, run));
        long millis = serviceMillis(arrival.path());
        if (millis == 0) {
            arrival.exchange().getIoThread().execute(end);
        } else {
            server.schedule(millis, end);
        }
    }

    private long serviceMillis(String path) {
        long general = faults.serviceMillis() == null ? settings.serviceMillis() : faults.serviceMillis();
        return faults.serviceMillisByPath().entrySet().stream()
                .filter(entry -> path.startsWith(entry.getKey()))
                .max(Map.Entry.comparingByKey((one, other) -> Integer.compare(one.length(), other.length())))
                .map(Map.Entry::getValue)
                .orElse(general);
    }

    private synchronized void finish(ReceivedRequest arrival, long run) {
        runningCount--;
        runningByShard.computeIfPresent(
                String.valueOf(arrival.shard()), (shard, count) -> count == 1 ? null : count - 1);
        journal.recordEnd(run, microClock.getAsLong());
        byte[] body = answerBody(arrival, run);
        sendAnswer(arrival, body);
        Outcome outcome = outcomesByKey.get(arrival.idempotencyKey());
        if (outcome != null) {
            outcome.body = body;
            outcome.repeats.forEach(repeat -> sendAnswer(repeat, body));
            outcome.repeats.clear();
        }
        startQueuedRequests();
        answerCompletedReleases();
    }

    private byte[] answerBody(ReceivedRequest arrival, long run) {
        return HttpExchanges.toJsonBytes(new AnswerBody(
                settings.server(),
                arrival.requestId(),
                arrival.method(),
                arrival.path(),
                run,
                "x".repeat(settings.answerBytes())));
    }

    private void sendAnswer(ReceivedRequest arrival, byte[] body) {
        Answer answer = new Answer(arrival.requestId(), body);
        AnswerSender channel = new AnswerSender(arrival.exchange(), server, faults.answerDelayMillis(), lastAnswer);
        lastAnswer = answer;
        consumeAnswerFault().deliver(channel, answer);
    }

    private AnswerFault consumeAnswerFault() {
        AnswerFault fault = faults.answerFault();
        if (faults.answerFaultCount() == 1) {
            faults = faults.withAnswerFault(AnswerFault.NONE, 0);
        } else if (faults.answerFaultCount() > 1) {
            faults = faults.withAnswerFault(fault, faults.answerFaultCount() - 1);
        }
        return fault;
    }

    /** Takes a request out of the queue; one that runs goes on. */
    synchronized void cancel(String requestId) {
        List<ReceivedRequest> cancelled = queue.stream()
                .filter(waiting -> requestId.equals(waiting.requestId()))
                .toList();
        queue.removeAll(cancelled);
        cancelled.forEach(waiting ->
                BackendRefusals.refuse(waiting.exchange(), SERVICE_UNAVAILABLE, "the request was cancelled"));
    }

    /** Grants or renews leases; returns whether they took effect. */
    synchronized boolean grant(List<LeaseTable.ShardGrant> shards, long leaseMillis, long receivedMicros) {
        long untilMicros = receivedMicros + TimeUnit.MILLISECONDS.toMicros(leaseMillis);
        return leases.grant(shards, microClock.getAsLong(), untilMicros);
    }

    /** Takes leases away; returns false if a higher token was seen, else runs a task once no request runs. */
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

    /** Returns the requests that run and wait, over the slots. */
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

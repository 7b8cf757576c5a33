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
    private static final int MAX_OUTCOMES = 100_000;
    private static final int REFUSED_FOR_NOW = 503;
    private static final int LEASE_CONFLICT = 409;

    private final BackendSettings settings;
    private final StandInServer server;
    private final Freezer freezer;
    private final LongSupplier microClock;
    private final RunJournal journal;
    private final LeaseBook leases;
    private final Queue<Arrival> queue = new ArrayDeque<>();
    private final Map<String, Integer> runningByShard = new HashMap<>();
    private final Map<String, Outcome> outcomes = new LinkedHashMap<>();
    private final List<PendingRelease> releases = new ArrayList<>();
    private BackendFaults faults = BackendFaults.NONE;
    private int running;
    private Answer lastAnswer;

    /** Outcome of the request that first came with an idempotency key. */
    private static final class Outcome {
        private final List<Arrival> repeats = new ArrayList<>();
        private byte[] body;
    }

    private record PendingRelease(List<String> shards, Runnable onDone) {}

    private record AnswerBody(String server, String request, String method, String path, long run, String padding) {}

    RequestRunner(BackendSettings settings, StandInServer server, Freezer freezer, LongSupplier microClock) {
        this.settings = settings;
        this.server = server;
        this.freezer = freezer;
        this.microClock = microClock;
        this.leases = new LeaseBook(settings.server());
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
    synchronized void submit(Arrival arrival) {
        if (faults.shedding()) {
            BackendReplies.refuse(arrival.exchange(), REFUSED_FOR_NOW, "the server sheds load");
            return;
        }
        if (running >= settings.slots() && queue.size() >= settings.queueLimit()) {
            BackendReplies.refuse(arrival.exchange(), REFUSED_FOR_NOW, "all slots and the queue are taken");
            return;
        }
        queue.add(arrival);
        startWaiting();
    }

    private void startWaiting() {
        while (running < settings.slots() && !queue.isEmpty()) {
            startUnlessRefused(queue.remove());
        }
    }

    private void startUnlessRefused(Arrival arrival) {
        if (microClock.getAsLong() > arrival.startByMicros() && !faults.ignoresStartBy()) {
            BackendReplies.refuse(arrival.exchange(), REFUSED_FOR_NOW, "the start-by time has passed");
            return;
        }
        Optional<String> refusal = settings.checksTokens()
                ? leases.refusal(arrival.shard(), arrival.token(), microClock.getAsLong())
                : Optional.empty();
        if (refusal.isPresent()) {
            BackendReplies.refuse(arrival.exchange(), LEASE_CONFLICT, refusal.get());
            return;
        }
        if (!isRepeat(arrival)) {
            start(arrival);
        }
    }

    private boolean isRepeat(Arrival arrival) {
        if (!settings.recognisesIdempotencyKeys() || arrival.idempotencyKey() == null) {
            return false;
        }
        Outcome first = outcomes.get(arrival.idempotencyKey());
        if (first == null) {
            outcomes.put(arrival.idempotencyKey(), new Outcome());
            if (outcomes.size() > MAX_OUTCOMES) {
                outcomes.remove(outcomes.keySet().iterator().next());
            }
            return false;
        }
        if (first.body == null) {
            first.repeats.add(arrival);
        } else {
            answer(arrival, first.body);
        }
        return true;
    }

    private void start(Arrival arrival) {
        running++;
        runningByShard.merge(String.valueOf(arrival.shard()), 1, Integer::sum);
        long run = journal.started(arrival.startedAt(settings.server(), microClock.getAsLong()));
        Runnable end = () -> freezer.run(() -> finish(arrival, run));
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

    private synchronized void finish(Arrival arrival, long run) {
        running--;
        runningByShard.computeIfPresent(
                String.valueOf(arrival.shard()), (shard, count) -> count == 1 ? null : count - 1);
        journal.ended(run, microClock.getAsLong());
        byte[] body = answerBody(arrival, run);
        answer(arrival, body);
        Outcome outcome = outcomes.get(arrival.idempotencyKey());
        if (outcome != null) {
            outcome.body = body;
            outcome.repeats.forEach(repeat -> answer(repeat, body));
            outcome.repeats.clear();
        }
        startWaiting();
        completeReleases();
    }

    private byte[] answerBody(Arrival arrival, long run) {
        return Replies.bytes(new AnswerBody(
                settings.server(),
                arrival.requestId(),
                arrival.method(),
                arrival.path(),
                run,
                "x".repeat(settings.answerBytes())));
    }

    private void answer(Arrival arrival, byte[] body) {
        Answer answer = new Answer(arrival.requestId(), body);
        AnswerChannel channel = new AnswerChannel(arrival.exchange(), server, faults.answerDelayMillis(), lastAnswer);
        lastAnswer = answer;
        takeAnswerFault().deliver(channel, answer);
    }

    private AnswerFault takeAnswerFault() {
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
        List<Arrival> cancelled = queue.stream()
                .filter(waiting -> requestId.equals(waiting.requestId()))
                .toList();
        queue.removeAll(cancelled);
        cancelled.forEach(
                waiting -> BackendReplies.refuse(waiting.exchange(), REFUSED_FOR_NOW, "the request was cancelled"));
    }

    /** Grants or renews leases; returns whether they took effect. */
    synchronized boolean grant(List<LeaseBook.Granted> shards, long leaseMillis, long receivedMicros) {
        long untilMicros = receivedMicros + TimeUnit.MILLISECONDS.toMicros(leaseMillis);
        return leases.grant(shards, microClock.getAsLong(), untilMicros);
    }

    /** Takes leases away; returns false if a higher token was seen, else runs a task once no request runs. */
    synchronized boolean release(List<String> shards, String token, Runnable onDone) {
        if (!leases.release(shards, token, microClock.getAsLong())) {
            return false;
        }
        releases.add(new PendingRelease(shards, onDone));
        completeReleases();
        return true;
    }

    private void completeReleases() {
        List<PendingRelease> done = releases.stream()
                .filter(release -> release.shards().stream().noneMatch(runningByShard::containsKey))
                .toList();
        releases.removeAll(done);
        done.forEach(release -> release.onDone().run());
    }

    /** Returns the requests that run and wait, over the slots. */
    synchronized double load() {
        return (double) (running + queue.size()) / settings.slots();
    }

    synchronized List<String> heldShards() {
        return leases.held(microClock.getAsLong());
    }

    synchronized List<Holding> holdings() {
        return leases.holdings();
    }
}

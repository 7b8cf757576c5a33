package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.standin.AnswerFault;
import org.lacewingthread.standin.BackendFaults;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.lacewingthread.standin.Run;

/**
 * Checks the history of concurrent callers during faults and owner changes: each complete response belongs to its
 * request, no non-repeatable request runs twice however often it is repeated, and what was "not run" never ran.
 */
class RequestHistoryTest {
    private static final int CALLERS = 8;
    private static final int REQUESTS_PER_CALLER = 40;
    private static final int MAX_ATTEMPTS = 3;
    private static final long SEED = 20_261_203;
    private static final long DISTURBANCE_INTERVAL_MILLIS = 10;
    private static final long LEASE_MILLIS = 600_000;

    private final List<BackendServerStandIn> backends = new ArrayList<>();
    private final List<ServerSpec> servers = new ArrayList<>();
    private ControlViewFactory views;
    private TrafficFixture fixture;

    /** Result that a caller received for one attempt. */
    private record ObservedAttempt(String path, String result, String knowledge, boolean isOwnResponse) {}

    @BeforeEach
    void start() throws Exception {
        for (String id : List.of("s1", "s2")) {
            BackendServerStandIn backend =
                    new BackendServerStandIn(0, BackendSettings.of(id).withServiceMillis(1));
            backends.add(backend);
            servers.add(ControlViewFactory.server(id, backend.uri().getPort(), 20));
        }
        views = new ControlViewFactory(servers.get(0), servers.get(1));
        fixture = new TrafficFixture();
        publishOwner(0);
    }

    private void publishOwner(int server) {
        fixture.state.publish(views.ownedBy(
                servers.get(server).id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(LEASE_MILLIS)));
    }

    @AfterEach
    void stop() {
        fixture.close();
        backends.forEach(BackendServerStandIn::close);
    }

    @Test
    void concurrentCallersSeeAConsistentHistoryDuringFaultsAndOwnerChanges() throws Exception {
        List<ObservedAttempt> history = new ArrayList<>(forcedFailures());
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        ScheduledExecutorService disturbances = Executors.newSingleThreadScheduledExecutor();
        Random random = new Random(SEED);
        AtomicInteger step = new AtomicInteger();
        disturbances.scheduleAtFixedRate(
                () -> injectDisturbance(random, step.getAndIncrement()),
                0,
                DISTURBANCE_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
        List<Callable<List<ObservedAttempt>>> callers =
                IntStream.range(0, CALLERS).mapToObj(this::caller).toList();
        for (Future<List<ObservedAttempt>> caller : threads.invokeAll(callers)) {
            history.addAll(caller.get());
        }
        disturbances.shutdown();
        assertThat(disturbances.awaitTermination(1, TimeUnit.MINUTES)).isTrue();
        threads.shutdown();
        checkHistory(history);
    }

    /** Sends a hold for each kind of result, so that the history check can never pass without having seen them. */
    private List<ObservedAttempt> forcedFailures() {
        Caller caller = new Caller(fixture.callerServer.port());
        backends.get(0).setFaults(BackendFaults.NONE.withShedding(true));
        ObservedAttempt refused = send(caller, "/holds/refused", "refused");
        backends.get(0).setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.LOST, 1));
        ObservedAttempt lost = send(caller, "/holds/lost", "lost");
        ObservedAttempt done = send(caller, "/holds/done", "done");
        assertThat(List.of(refused.knowledge(), lost.knowledge(), done.knowledge()))
                .containsExactly("not-run", "outcome-unknown", "done");
        return List.of(refused, lost, done);
    }

    private Callable<List<ObservedAttempt>> caller(int number) {
        return () -> {
            Caller caller = new Caller(fixture.callerServer.port());
            Random random = new Random(SEED + number);
            List<ObservedAttempt> history = new ArrayList<>();
            for (int i = 0; i < REQUESTS_PER_CALLER; i++) {
                String name = "c" + number + "-" + i;
                if (random.nextBoolean()) {
                    history.add(send(caller, "/rugs/" + name, null));
                } else {
                    hold(caller, "/holds/" + name, name, history);
                }
            }
            return history;
        };
    }

    /** Sends a hold and repeats it until its outcome is known. */
    private void hold(Caller caller, String path, String key, List<ObservedAttempt> history) {
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            ObservedAttempt observed = send(caller, path, key);
            history.add(observed);
            if (observed.knowledge().equals("done")) {
                return;
            }
        }
    }

    private static ObservedAttempt send(Caller caller, String path, String key) {
        try {
            HttpResponse<String> response = key == null
                    ? caller.get(path, "Lacewingthread-Deadline-Millis", "500")
                    : caller.post(path, "{}", "Idempotency-Key", key, "Lacewingthread-Deadline-Millis", "500");
            boolean done = Caller.knowledgeOf(response).equals("done");
            boolean isOwnResponse = !done || response.body().contains("\"path\":\"" + path + "\"");
            return new ObservedAttempt(path, Caller.resultOf(response), Caller.knowledgeOf(response), isOwnResponse);
        } catch (Exception e) {
            return new ObservedAttempt(path, "response aborted", "outcome-unknown", true);
        }
    }

    private void injectDisturbance(Random random, int step) {
        BackendFaults none = BackendFaults.NONE;
        List<BackendFaults> faults = List.of(
                none,
                none,
                none.withAnswerFault(AnswerFault.LOST, 1),
                none.withAnswerFault(AnswerFault.CROSSED, 1),
                none.withAnswerFault(AnswerFault.DUPLICATED, 1),
                none.withAnswerFault(AnswerFault.TRUNCATED, 1),
                none.withAnswerFault(AnswerFault.FAILED, 2),
                none.withDelayedAnswers(30, 2),
                none.withShedding(true),
                none.withFrozen(true));
        backends.get(random.nextInt(2)).setFaults(faults.get(random.nextInt(faults.size())));
        if (step % 20 == 10) {
            fixture.state.publish(views.inMotion(TrafficFixture.deadlineIn(LEASE_MILLIS)));
        } else if (step % 20 == 12) {
            publishOwner(random.nextInt(2));
        }
    }

    private void checkHistory(List<ObservedAttempt> history) {
        Map<String, Integer> runsByHold = new TreeMap<>();
        for (BackendServerStandIn backend : backends) {
            backend.setFaults(BackendFaults.NONE);
            for (Run run : backend.runs()) {
                if (run.path().startsWith("/holds")) {
                    runsByHold.merge(run.path(), 1, Integer::sum);
                }
            }
        }
        assertThat(history).allMatch(ObservedAttempt::isOwnResponse);
        assertThat(runsByHold.values()).allMatch(count -> count == 1);
        Map<String, Set<String>> knowledgeByHold = history.stream()
                .filter(attempt -> attempt.path().startsWith("/holds"))
                .collect(Collectors.groupingBy(
                        ObservedAttempt::path,
                        HashMap::new,
                        Collectors.mapping(ObservedAttempt::knowledge, Collectors.toSet())));
        knowledgeByHold.forEach((path, knowledge) -> {
            if (knowledge.equals(Set.of("not-run"))) {
                assertThat(runsByHold).doesNotContainKey(path);
            }
            if (knowledge.contains("done")) {
                assertThat(runsByHold).containsKey(path);
            }
        });
    }
}

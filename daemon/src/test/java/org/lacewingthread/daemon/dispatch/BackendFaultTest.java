package org.lacewingthread.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.daemon.caller.Caller;
import org.lacewingthread.standin.AnswerFault;
import org.lacewingthread.standin.BackendFaults;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;
import org.lacewingthread.standin.HealthState;

/** Checks the results that callers receive when a backend server misbehaves, and how often their requests ran. */
class BackendFaultTest {
    private static final long LONG_LEASE_MILLIS = 600_000;
    private static final String ABORTED = "response aborted";

    private BackendServerStandIn backend;
    private BackendServerStandIn second;
    private TrafficFixture fixture;
    private ControlViewFactory views;
    private ServerSpec server;
    private ServerSpec secondServer;
    private Caller caller;

    @BeforeEach
    void start() throws Exception {
        backend = new BackendServerStandIn(0, BackendSettings.of("s1"));
        second = new BackendServerStandIn(0, BackendSettings.of("s2"));
        server = ControlViewFactory.server("s1", backend.uri().getPort(), 20);
        secondServer = ControlViewFactory.server("s2", second.uri().getPort(), 20);
        views = new ControlViewFactory(server, secondServer);
        fixture = new TrafficFixture();
        caller = new Caller(fixture.callerServer.port());
        publishOwner(server);
    }

    private void publishOwner(ServerSpec owner) {
        fixture.state.publish(
                views.ownedBy(owner.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(LONG_LEASE_MILLIS)));
    }

    @AfterEach
    void stop() {
        fixture.close();
        backend.close();
        second.close();
    }

    private String holdResult(String key, String... moreHeaders) throws InterruptedException {
        String[] headers = Stream.concat(Stream.of("Idempotency-Key", key), Stream.of(moreHeaders))
                .toArray(String[]::new);
        try {
            return Caller.resultOf(caller.post("/holds/1", "{}", headers));
        } catch (IOException e) {
            return ABORTED;
        }
    }

    private String lookupResult(String path) throws InterruptedException {
        try {
            HttpResponse<String> response = caller.get(path);
            boolean isOwnResponse =
                    response.statusCode() != 200 || response.body().contains("\"" + path + "\"");
            return isOwnResponse ? Caller.resultOf(response) : "the response to another request";
        } catch (IOException e) {
            return ABORTED;
        }
    }

    static Stream<Arguments> faults() {
        BackendFaults none = BackendFaults.NONE;
        return Stream.of(
                Arguments.of("response lost", none.withAnswerFault(AnswerFault.LOST, 1), "4001", "1000"),
                Arguments.of("response delayed", none.withDelayedAnswers(50, 1), "1000", "1000"),
                Arguments.of("response duplicated", none.withAnswerFault(AnswerFault.DUPLICATED, 1), "1000", "1000"),
                Arguments.of("response crossed", none.withAnswerFault(AnswerFault.CROSSED, 1), "4001", "1000"),
                Arguments.of("run answered with 503", none.withAnswerFault(AnswerFault.FAILED, 1), "4004", "1000"),
                Arguments.of("response truncated", none.withAnswerFault(AnswerFault.TRUNCATED, 1), ABORTED, ABORTED));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void holdRunsOnceDespiteAFaultAndRepeats(String name, BackendFaults faults, String hold, String lookup)
            throws Exception {
        backend.setFaults(faults);
        String repeated = hold.equals("1000") ? "1000" : "4002";
        assertThat(holdResult("k1")).isEqualTo(hold);
        assertThat(holdResult("k1")).isEqualTo(repeated);
        assertThat(holdResult("k1", "Lacewingthread-Attempt", "2")).isEqualTo(repeated);
        assertThat(backend.runs()).hasSize(1);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void lookupsReceiveTheirOwnResponsesAfterAFault(String name, BackendFaults faults, String hold, String lookup)
            throws Exception {
        backend.setFaults(faults);
        assertThat(lookupResult("/rugs/1")).isEqualTo(lookup);
        for (int i = 2; i < 8; i++) {
            assertThat(lookupResult("/rugs/" + i)).isEqualTo("1000");
        }
    }

    /** Guards against "not run" for a repeatable request that ran, and against giving it up after one run. */
    @Test
    void lookupWhoseRunIsAnswered503IsSentAgain() throws Exception {
        backend.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.FAILED, 1));
        assertThat(caller.get("/rugs/1").statusCode()).isEqualTo(200);
        assertThat(backend.runs()).hasSize(2);
        backend.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.FAILED, 0));
        assertThat(caller.get("/rugs/2").statusCode()).isEqualTo(502);
    }

    @Test
    void holdAnsweredAfterItsDeadlineStaysUnknown() throws Exception {
        backend.setFaults(BackendFaults.NONE.withDelayedAnswers(400, 1));
        assertThat(holdResult("k1", "Lacewingthread-Deadline-Millis", "200")).isEqualTo("4000");
        assertThat(holdResult("k1")).isEqualTo("4002");
        assertThat(lookupResult("/rugs/1")).isEqualTo("1000");
        assertThat(backend.runs())
                .filteredOn(run -> run.path().startsWith("/holds"))
                .hasSize(1);
    }

    @Test
    void repeatDuringTheFirstAttemptIsRefusedAsStillRunning() throws Exception {
        backend.setFaults(BackendFaults.NONE.withServiceMillis(500));
        CompletableFuture<HttpResponse<String>> first = caller.postAsync("/holds/1", "{}", "Idempotency-Key", "k1");
        Awaitility.await().until(() -> backend.runs().size() == 1);
        assertThat(holdResult("k1")).isEqualTo("3009");
        assertThat(Caller.resultOf(first.get())).isEqualTo("1000");
        assertThat(holdResult("k1")).isEqualTo("1000");
        assertThat(backend.runs()).hasSize(1);
    }

    @Test
    void silentConnectionIsReplacedWithoutCallingTheServerUnreachable() throws Exception {
        assertThat(lookupResult("/rugs/1")).isEqualTo("1000");
        backend.silenceConnections();
        assertThat(lookupResult("/rugs/2")).isEqualTo("1000");
        assertThat(holdResult("k1", "Lacewingthread-Deadline-Millis", "1000")).isEqualTo("1000");
        assertThat(fixture.observations).isEmpty();
    }

    /** Guards against a hedge that is sent on another pooled connection, which is silent too. */
    @Test
    void lookupIsAnsweredByItsHedgeWhileAllPooledConnectionsAreSilent() throws Exception {
        backend.setFaults(BackendFaults.NONE.withServiceMillis(500));
        CompletableFuture<HttpResponse<String>> first = caller.getAsync("/rugs/1");
        CompletableFuture<HttpResponse<String>> concurrent = caller.getAsync("/rugs/2");
        assertThat(Caller.resultOf(first.get())).isEqualTo("1000");
        assertThat(Caller.resultOf(concurrent.get())).isEqualTo("1000");
        backend.setFaults(BackendFaults.NONE);
        // Shortens the expected service time, so that the hedge is sent before a probe opens a new connection.
        for (int i = 0; i < 60; i++) {
            assertThat(lookupResult("/rugs/3")).isEqualTo("1000");
        }
        assertThat(backend.openConnections()).isGreaterThanOrEqualTo(2);
        backend.silenceConnections();
        assertThat(lookupResult("/rugs/4")).isEqualTo("1000");
        assertThat(fixture.observations).isEmpty();
    }

    @Test
    void frozenServerIsReportedUnreachableAndServedAfterItsRecovery() throws Exception {
        assertThat(lookupResult("/rugs/1")).isEqualTo("1000");
        backend.setFaults(BackendFaults.NONE.withFrozen(true));
        assertThat(holdResult("k1", "Lacewingthread-Deadline-Millis", "900")).isEqualTo("4000");
        Awaitility.await().until(() -> fixture.observations.contains("s1 UNREACHABLE"));
        assertThat(holdResult("k2")).isEqualTo("3005");
        backend.setFaults(BackendFaults.NONE);
        Awaitility.await().until(() -> fixture.observations.contains("s1 REACHABLE"));
        assertThat(holdResult("k1")).isEqualTo("4002");
        assertThat(holdResult("k2")).isEqualTo("1000");
        assertThat(backend.runs())
                .filteredOn(run -> "k1".equals(run.idempotencyKey()))
                .hasSizeLessThanOrEqualTo(1);
    }

    @Test
    void holdShedByTheServerIsReportedAsNotRun() throws Exception {
        backend.setFaults(BackendFaults.NONE.withShedding(true));
        HttpResponse<String> response = caller.post("/holds/1", "{}", "Idempotency-Key", "k1");
        assertThat(Caller.resultOf(response)).isEqualTo("3006");
        assertThat(Caller.knowledgeOf(response)).isEqualTo("not-run");
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
        backend.setFaults(BackendFaults.NONE);
        assertThat(holdResult("k1")).isEqualTo("1000");
        assertThat(backend.runs()).hasSize(1);
    }

    @Test
    void serverWithLeavingHealthIsReportedAndStillServed() throws Exception {
        backend.setFaults(BackendFaults.NONE.withHealth(HealthState.LEAVING, 0.0, 0));
        Awaitility.await().until(() -> fixture.observations.contains("s1 LEAVING"));
        assertThat(holdResult("k1")).isEqualTo("1000");
    }

    @Test
    void holdForAServerRefusingConnectionsIsReportedAsNotRun() throws Exception {
        try (ServerSocket unused = new ServerSocket(0)) {
            server = ControlViewFactory.server("s3", unused.getLocalPort(), 20);
        }
        views = new ControlViewFactory(server);
        publishOwner(server);
        assertThat(holdResult("k1")).isEqualTo("3005");
        assertThat(holdResult("k1")).isEqualTo("3005");
    }

    @Test
    void ownerChangeIsDrainedOnlyAfterTheRequestInFlightCompletes() throws Exception {
        backend.setFaults(BackendFaults.NONE.withServiceMillis(400));
        CompletableFuture<HttpResponse<String>> first = caller.postAsync("/holds/1", "{}", "Idempotency-Key", "k1");
        Awaitility.await().until(() -> backend.runs().size() == 1);
        long before = fixture.state.snapshot().view().number();
        fixture.state.publish(views.inMotion(TrafficFixture.deadlineIn(LONG_LEASE_MILLIS)));
        CompletableFuture<HttpResponse<String>> held = caller.getAsync("/rugs/1");
        Awaitility.await().until(() -> fixture.router.heldCount() == 1);
        assertThat(fixture.drainedViews).doesNotContain(before + 1);
        assertThat(first.get().body()).contains("\"server\":\"s1\"");
        Awaitility.await().until(() -> fixture.drainedViews.contains(before + 1));
        publishOwner(secondServer);
        assertThat(held.get().body()).contains("\"server\":\"s2\"");
        assertThat(holdResult("k1")).isEqualTo("1000");
        assertThat(second.runs()).hasSize(1);
    }

    /** Guards against a refusal of a request that is routed before the dispatcher of its new server is there. */
    @Test
    void requestIsServedWhileTheViewThatNamesItsNewServerIsPublished() throws Exception {
        AtomicReference<CompletableFuture<HttpResponse<String>>> lookup = new AtomicReference<>();
        fixture.firstListener = () -> {
            lookup.set(caller.getAsync("/rugs/1"));
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        };
        publishOwner(secondServer);
        assertThat(lookup.get().get().body()).contains("\"server\":\"s2\"");
    }

    @Test
    void cancelledHoldCompletesAndItsOutcomeIsStored() throws Exception {
        backend.setFaults(BackendFaults.NONE.withServiceMillis(300));
        CompletableFuture<HttpResponse<String>> cancelled = caller.postAsync("/holds/1", "{}", "Idempotency-Key", "k1");
        Awaitility.await().until(() -> backend.runs().size() == 1);
        cancelled.cancel(true);
        Awaitility.await().until(() -> fixture.callerServer.inFlight() == 0);
        Awaitility.await().until(() -> "1000".equals(holdResult("k1")));
        assertThat(backend.runs()).hasSize(1);
    }
}

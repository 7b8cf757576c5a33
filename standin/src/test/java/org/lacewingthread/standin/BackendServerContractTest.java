package org.lacewingthread.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackendServerContractTest {
    private static final BackendSettings DEFAULT_SETTINGS = BackendSettings.of("s1");

    private final AtomicLong nanos = new AtomicLong(TimeUnit.HOURS.toNanos(1));
    private BackendServerStandIn server;

    @AfterEach
    void stop() {
        server.close();
    }

    private TestConnection start(BackendSettings settings) throws IOException {
        server = new BackendServerStandIn(0, settings, nanos::get);
        return new TestConnection(server.uri());
    }

    private void advanceMillis(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    @Test
    void requestIsRunAndAnswerCarriesItsId() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            Map<String, String> headers = Map.of(
                    "Lacewingthread-Request", "r1", "Lacewingthread-Shard", "ledger/12", "Idempotency-Key", "k1");
            TestConnection.Reply reply = connection.call("POST", "/holds/7?colour=red", headers, "body");

            assertThat(reply.status()).isEqualTo(200);
            assertThat(reply.requestId()).isEqualTo("r1");
            assertThat(reply.isNotRun()).isFalse();
            assertThat(reply.body()).contains("\"server\":\"s1\"", "\"request\":\"r1\"", "/holds/7?colour=red");
            assertThat(server.runs()).singleElement().satisfies(run -> {
                assertThat(run.requestId()).isEqualTo("r1");
                assertThat(run.idempotencyKey()).isEqualTo("k1");
                assertThat(run.shard()).isEqualTo("ledger/12");
                assertThat(run.path()).isEqualTo("/holds/7?colour=red");
                assertThat(run.hasEnded()).isTrue();
            });
        }
    }

    @Test
    void answerBodyHasAtLeastTheConfiguredSize() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withAnswerBytes(100_000))) {
            assertThat(connection.get("/", "r1").body()).hasSizeGreaterThan(100_000);
        }
    }

    /** Columns: fault; whether an answer arrives, its request id and whether its body is complete. */
    @ParameterizedTest
    @CsvSource({
        "NONE,       true,  r1,       true",
        "LOST,       false, '',       false",
        "DELAYED,    true,  r1,       true",
        "DUPLICATED, true,  r1,       true",
        "CROSSED,    true,  stranger, true",
        "FAILED,     true,  r1,       true",
        "TRUNCATED,  true,  r1,       false"
    })
    void requestWithAnswerFaultRunsExactlyOnce(AnswerFault fault, boolean answered, String id, boolean complete)
            throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            server.setFaults(BackendFaults.NONE.withAnswerFault(fault, 1));

            TestConnection.Reply reply = connection.get("/", "r1");

            assertThat(reply != null).isEqualTo(answered);
            if (answered) {
                assertThat(reply.requestId()).isEqualTo(id);
                assertThat(reply.isComplete()).isEqualTo(complete);
            }
            assertThat(server.runs()).hasSize(1);
            assertThat(server.faults().answerFault()).isEqualTo(AnswerFault.NONE);
        }
    }

    @Test
    void delayedAnswerIsNotSentWhenRunEnds() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            server.setFaults(BackendFaults.NONE.withDelayedAnswers(600_000, 1));
            connection.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");

            assertThat(connection.isSilent()).isTrue();
            assertThat(server.runs()).singleElement().matches(Run::hasEnded);
        }
    }

    @Test
    void truncatedAnswerClosesConnection() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withAnswerBytes(200_000))) {
            server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.TRUNCATED, 1));

            assertThat(connection.get("/", "r1").body()).hasSizeBetween(100_000, 101_000);
            assertThat(connection.receive()).isNull();
        }
    }

    @Test
    void duplicatedAnswerShiftsLaterAnswersOnSameConnection() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS);
                TestConnection other = new TestConnection(server.uri())) {
            server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.DUPLICATED, 1));
            connection.get("/", "r1");

            assertThat(connection.get("/", "r2").requestId()).isEqualTo("r1");
            assertThat(connection.get("/", "r3").requestId()).isEqualTo("r2");
            assertThat(other.get("/", "r4").requestId()).isEqualTo("r4");
        }
    }

    @Test
    void crossedAnswerCarriesIdAndBodyOfOtherRequest() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            connection.get("/a", "r1");
            server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.CROSSED, 1));

            TestConnection.Reply crossed = connection.get("/b", "r2");

            assertThat(crossed.requestId()).isEqualTo("r1");
            assertThat(crossed.body()).contains("\"path\":\"/a\"");
        }
    }

    @Test
    void frozenServerAnswersOnlyAfterItIsUnfrozen() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            server.setFaults(BackendFaults.NONE.withFrozen(true));
            connection.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");

            assertThat(connection.isSilent()).isTrue();
            assertThat(server.runs()).isEmpty();
            server.setFaults(BackendFaults.NONE);
            assertThat(connection.receive().requestId()).isEqualTo("r1");
        }
    }

    @Test
    void runningRequestEndsAfterFrozenServerIsUnfrozen() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withServiceMillis(1_500))) {
            connection.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");
            await().until(() -> server.runs().size() == 1);
            server.setFaults(BackendFaults.NONE.withFrozen(true));

            assertThat(connection.isSilent()).isTrue();
            assertThat(server.runs().get(0).hasEnded()).isFalse();
            server.setFaults(BackendFaults.NONE);
            assertThat(connection.receive().requestId()).isEqualTo("r1");
        }
    }

    /** Columns: start-by header, time frozen, whether the server ignores the header, whether the request runs. */
    @ParameterizedTest
    @CsvSource({"250, 200, false, true", "250, 251, false, false", "250, 5000, true, true", "0, 0, false, true"})
    void unfrozenServerAppliesStartByTimeToRequestsAlreadyRead(
            String startByMillis, long frozenMillis, boolean ignoresStartBy, boolean runs) throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            server.setFaults(BackendFaults.NONE.withFrozen(true));
            Map<String, String> headers =
                    Map.of("Lacewingthread-Request", "r1", "Lacewingthread-Start-By-Millis", startByMillis);
            connection.send("GET", "/", headers, "");
            assertThat(connection.isSilent()).isTrue();
            advanceMillis(frozenMillis);
            server.setFaults(BackendFaults.NONE.withIgnoresStartBy(ignoresStartBy));

            TestConnection.Reply reply = connection.receive();

            assertThat(reply.status()).isEqualTo(runs ? 200 : 503);
            assertThat(reply.isNotRun()).isEqualTo(!runs);
            assertThat(reply.requestId()).isEqualTo("r1");
            assertThat(server.runs()).hasSize(runs ? 1 : 0);
        }
    }

    @Test
    void silencedConnectionsGetNoAnswerWhileNewOnesWork() throws IOException {
        try (TestConnection old = start(DEFAULT_SETTINGS);
                TestConnection unused = new TestConnection(server.uri())) {
            old.get("/", "r1");
            await().until(() -> server.openConnections() == 2);
            server.silenceConnections();
            old.send("GET", "/", Map.of("Lacewingthread-Request", "r2"), "");
            unused.send("GET", "/", Map.of("Lacewingthread-Request", "r3"), "");

            assertThat(old.isSilent()).isTrue();
            assertThat(unused.isSilent()).isTrue();
            try (TestConnection fresh = new TestConnection(server.uri())) {
                assertThat(fresh.get("/", "r4").requestId()).isEqualTo("r4");
            }
            assertThat(server.runs()).extracting(Run::requestId).containsExactly("r1", "r4");
        }
    }

    @Test
    void runningRequestOnSilencedConnectionEndsWithoutAnswer() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withServiceMillis(1_500))) {
            connection.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");
            await().until(() -> server.runs().size() == 1);
            server.silenceConnections();
            await().until(() -> server.runs().get(0).hasEnded());

            assertThat(connection.isSilent()).isTrue();
        }
    }

    @Test
    void connectionAboveLimitIsClosed() throws IOException {
        try (TestConnection first = start(DEFAULT_SETTINGS.withMaxConnections(1))) {
            assertThat(first.get("/", "r1").status()).isEqualTo(200);
            try (TestConnection second = new TestConnection(server.uri())) {
                assertThat(second.receive()).isNull();
            }
            assertThat(first.get("/", "r2").status()).isEqualTo(200);
        }
    }

    @Test
    void sheddingServerRefusesRequestWithoutRunningIt() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            server.setFaults(BackendFaults.NONE.withShedding(true));

            assertRefused(connection.get("/", "r1"), 503);
        }
    }

    private void assertRefused(TestConnection.Reply reply, int status) {
        assertThat(reply.status()).isEqualTo(status);
        assertThat(reply.isNotRun()).isTrue();
        assertThat(server.runs()).isEmpty();
    }

    @Test
    void requestIsRefusedWhenSlotsAndQueueAreFull() throws IOException {
        try (TestConnection running = start(DEFAULT_SETTINGS.withSlots(1, 1).withServiceMillis(600_000));
                TestConnection waiting = new TestConnection(server.uri());
                TestConnection refused = new TestConnection(server.uri())) {
            running.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");
            await().until(() -> server.runs().size() == 1);
            waiting.send("GET", "/", Map.of("Lacewingthread-Request", "r2"), "");
            assertThat(waiting.isSilent()).isTrue();

            TestConnection.Reply reply = refused.get("/", "r3");

            assertThat(reply.status()).isEqualTo(503);
            assertThat(reply.isNotRun()).isTrue();
            assertThat(server.runs()).hasSize(1);
        }
    }

    @Test
    void longestMatchingPathDeterminesServiceTime() throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withServiceMillis(600_000))) {
            server.setFaults(HttpExchanges.JSON.readValue(
                    "{\"serviceMillisByPath\":{\"/rugs\":600000,\"/rugs/quick\":0}}", BackendFaults.class));

            assertThat(connection.get("/rugs/quick/1", "r1").status()).isEqualTo(200);
        }
    }

    @Test
    void cancelRemovesQueuedRequestButNotRunningOne() throws IOException {
        try (TestConnection running = start(DEFAULT_SETTINGS.withSlots(1, 4).withServiceMillis(2_500));
                TestConnection waiting = new TestConnection(server.uri());
                TestConnection control = new TestConnection(server.uri())) {
            running.send("GET", "/", Map.of("Lacewingthread-Request", "r1"), "");
            await().until(() -> server.runs().size() == 1);
            waiting.send("GET", "/", Map.of("Lacewingthread-Request", "r2"), "");
            await().until(() ->
                    control.get("/.lacewingthread/health", "h").body().contains("\"load\":2.0"));

            assertThat(control.call("POST", "/.lacewingthread/cancel/r2", Map.of(), "")
                            .status())
                    .isEqualTo(202);
            assertThat(control.call("POST", "/.lacewingthread/cancel/r1", Map.of(), "")
                            .status())
                    .isEqualTo(202);

            assertThat(waiting.receive().isNotRun()).isTrue();
            assertThat(running.receive().status()).isEqualTo(200);
            assertThat(server.runs()).hasSize(1);
        }
    }

    /** Columns: whether the server recognises idempotency keys, number of runs of two requests with one key. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void repeatedIdempotencyKeyRunsOnceIfServerRecognisesKeys(boolean recognised, int runs) throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS.withRecognisesIdempotencyKeys(recognised))) {
            Map<String, String> first = Map.of("Lacewingthread-Request", "r1", "Idempotency-Key", "k");
            Map<String, String> repeat = Map.of("Lacewingthread-Request", "r2", "Idempotency-Key", "k");
            String body = connection.call("POST", "/holds", first, "").body();

            TestConnection.Reply reply = connection.call("POST", "/holds", repeat, "");

            assertThat(reply.requestId()).isEqualTo("r2");
            assertThat(reply.body().equals(body)).isEqualTo(recognised);
            assertThat(server.runs()).hasSize(runs);
        }
    }

    @Test
    void repeatedRequestWaitsForOutcomeOfRunningFirstRequest() throws IOException {
        try (TestConnection first =
                        start(DEFAULT_SETTINGS.withServiceMillis(200).withRecognisesIdempotencyKeys(true));
                TestConnection second = new TestConnection(server.uri())) {
            first.send("POST", "/holds", Map.of("Lacewingthread-Request", "r1", "Idempotency-Key", "k"), "");
            await().until(() -> server.runs().size() == 1);
            second.send("POST", "/holds", Map.of("Lacewingthread-Request", "r2", "Idempotency-Key", "k"), "");

            assertThat(second.receive().body()).isEqualTo(first.receive().body());
            assertThat(server.runs()).hasSize(1);
        }
    }

    @ParameterizedTest
    @CsvSource({"Lacewingthread-Token, nonsense", "Lacewingthread-Start-By-Millis, soon"})
    void requestWithInvalidHeaderIsRefusedWithoutRunningIt(String header, String value) throws IOException {
        try (TestConnection connection = start(DEFAULT_SETTINGS)) {
            assertRefused(connection.call("GET", "/", Map.of(header, value), ""), 400);
        }
    }
}

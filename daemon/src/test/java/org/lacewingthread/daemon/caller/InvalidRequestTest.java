package org.lacewingthread.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.Stream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.daemon.dispatch.ControlViewFactory;
import org.lacewingthread.daemon.dispatch.IdempotencyRecordReplicator;
import org.lacewingthread.daemon.dispatch.RelayDirectory;
import org.lacewingthread.daemon.dispatch.TrafficFixture;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

/**
 * Tests that an invalid request is refused with its result code and a message that names the fault, and that
 * nothing of it reaches a backend server.
 */
class InvalidRequestTest {
    private static final CallerLimits LIMITS = new CallerLimits(2_048, 1_000, 5_000, 300, 4);

    private BackendServerStandIn backend;
    private TrafficFixture bench;

    @BeforeEach
    void start() throws Exception {
        backend = new BackendServerStandIn(0, BackendSettings.of("s1"));
        ServerSpec server = ControlViewFactory.server("s1", backend.uri().getPort(), 8);
        bench = new TrafficFixture(LIMITS, IdempotencyRecordReplicator.NONE, RelayDirectory.NONE);
        bench.state.publish(new ControlViewFactory(server)
                .ownedBy(server.id(), ControlViewFactory.SELF, TrafficFixture.deadlineIn(600_000)));
    }

    @AfterEach
    void stop() {
        bench.close();
        backend.close();
    }

    static Stream<Arguments> refused() {
        String host = "Host: a\r\n";
        return Stream.of(
                Arguments.of("no selector", "GET /unknown/1 HTTP/1.1\r\n" + host + "\r\n", "404", 2010, "/unknown/1"),
                Arguments.of("method without selector", "PUT /rugs/1 HTTP/1.1\r\n" + host + "\r\n", "404", 2010, "PUT"),
                Arguments.of(
                        "unknown application",
                        "GET /rugs/1 HTTP/1.1\r\n" + host + "Lacewingthread-Application: customs\r\n\r\n",
                        "404",
                        2011,
                        "customs"),
                Arguments.of("missing key", "GET /rugs HTTP/1.1\r\n" + host + "\r\n", "400", 2012, "path segment 1"),
                Arguments.of(
                        "deadline of 0", withHeader("Lacewingthread-Deadline-Millis: 0"), "400", 2013, "\\\"0\\\""),
                Arguments.of("deadline below 0", withHeader("Lacewingthread-Deadline-Millis: -5"), "400", 2013, "-5"),
                Arguments.of(
                        "deadline too far", withHeader("Lacewingthread-Deadline-Millis: 60001"), "400", 2013, "60001"),
                Arguments.of(
                        "deadline no number", withHeader("Lacewingthread-Deadline-Millis: soon"), "400", 2013, "soon"),
                Arguments.of("empty idempotency key", withHeader("Idempotency-Key: "), "400", 2014, "1 to 128"),
                Arguments.of("blank in idempotency key", withHeader("Idempotency-Key: a b"), "400", 2014, "a b"),
                Arguments.of(
                        "long idempotency key", withHeader("Idempotency-Key: " + "k".repeat(129)), "400", 2014, "128"),
                Arguments.of(
                        "two idempotency keys",
                        withHeader("Idempotency-Key: a\r\nIdempotency-Key: b"),
                        "400",
                        2014,
                        "give one"),
                Arguments.of("attempt 0", withHeader("Lacewingthread-Attempt: 0"), "400", 2014, "first attempt"),
                Arguments.of("attempt no number", withHeader("Lacewingthread-Attempt: two"), "400", 2014, "two"),
                Arguments.of("headers too large", withHeader("X: " + "x".repeat(2_100)), "431", 2001, "2048"),
                Arguments.of(
                        "body announced too large",
                        "POST /holds/1 HTTP/1.1\r\n" + host + "Content-Length: 1001\r\n\r\n",
                        "413",
                        2002,
                        "1000"),
                Arguments.of(
                        "chunked body too large",
                        "POST /holds/1 HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n"
                                + "b".repeat(1_001) + "\r\n0\r\n\r\n",
                        "413",
                        2002,
                        "1000"),
                Arguments.of(
                        "slow body",
                        "POST /holds/1 HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nabc",
                        "408",
                        2004,
                        "3 bytes"));
    }

    private static String withHeader(String header) {
        return "POST /holds/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + header + "\r\n\r\n";
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("refused")
    void invalidRequestIsRefusedWithItsResultCode(String name, String request, String status, int code, String hint)
            throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            caller.send(request);
            String answer = caller.readUntil("}");
            assertThat(answer).startsWith("HTTP/1.1 " + status + " ");
            assertThat(answer).contains("\"code\":" + code + ",").contains(hint).contains("\"knowledge\":\"not-run\"");
            assertThat(answer).doesNotContain("Exception").doesNotContain("\tat ");
        }
        assertNothingInFlightAndNothingExecuted();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\u0001\u0002\u0003 garbage\r\n\r\n",
                "GET\r\n\r\n",
                "GET /rugs/1 HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n",
                "POST /holds/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"
            })
    void unparsableRequestEndsWithAClosedConnection(String request) throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            caller.send(request);
            caller.shutdownOutput();
            assertThat(caller.readToEnd()).doesNotContain(" 200 ").doesNotContain("Exception");
        }
        assertNothingInFlightAndNothingExecuted();
    }

    /** Guards against a request that stands in the body of another one, whose end is not known. */
    @ParameterizedTest
    @ValueSource(strings = {"gzip", "identity", "gzip, chunked", "chunked, gzip", "chunked, chunked", "xchunked", ""})
    void requestInABodyWhoseTransferCodingIsNotUnderstoodIsNotRun(String coding) throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            String inner = "POST /holds/2 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
            caller.send("POST /holds/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + inner);
            caller.shutdownOutput();
            assertThat(caller.readToEnd()).doesNotContain(" 200 ").doesNotContain("Exception");
        }
        assertNothingInFlightAndNothingExecuted();
    }

    @Test
    void truncatedBodyIsNotSentToTheServer() throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            caller.send("POST /holds/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
            caller.shutdownOutput();
            assertThat(caller.readToEnd()).doesNotContain(" 200 ");
        }
        assertNothingInFlightAndNothingExecuted();
    }

    @Test
    void callerThatDisconnectsWhileSendingIsNoLongerInFlight() throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            caller.send("POST /holds/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
            Awaitility.await().until(() -> bench.callerServer.inFlight() == 1);
        }
        assertNothingInFlightAndNothingExecuted();
    }

    @Test
    void requestAboveTheInFlightLimitIsRefusedImmediately() throws Exception {
        bench.state.publish(new ControlViewFactory(
                        ControlViewFactory.server("s1", backend.uri().getPort(), 8))
                .inMotion(TrafficFixture.deadlineIn(600_000)));
        Caller caller = new Caller(bench.callerServer.port());
        for (int i = 0; i < LIMITS.maxRequestsInFlight(); i++) {
            caller.getAsync("/rugs/" + i, "Lacewingthread-Deadline-Millis", "2000");
        }
        Awaitility.await().until(() -> bench.callerServer.inFlight() == LIMITS.maxRequestsInFlight());
        assertThat(Caller.resultOf(caller.get("/rugs/9"))).isEqualTo("3001");
    }

    @Test
    void pipelinedRequestIsReadAfterThePreviousIsAnswered() throws Exception {
        try (RawHttpCaller caller = new RawHttpCaller(bench.callerServer.port())) {
            String request = "GET /rugs/%d HTTP/1.1\r\nHost: a\r\n\r\n";
            caller.send(String.format(request, 1) + String.format(request, 2));
            assertThat(caller.readUntil("}")).contains("/rugs/1");
            assertThat(caller.readUntil("}")).contains("/rugs/2");
            caller.send(String.format(request, 3));
            assertThat(caller.readUntil("}")).contains("/rugs/3");
        }
    }

    private void assertNothingInFlightAndNothingExecuted() {
        Awaitility.await().until(() -> bench.callerServer.inFlight() == 0);
        assertThat(backend.runs()).isEmpty();
    }
}

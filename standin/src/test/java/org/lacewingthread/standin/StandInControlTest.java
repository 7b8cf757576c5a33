package org.lacewingthread.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInControlTest {
    private static final BackendSettings DEFAULT_SETTINGS = BackendSettings.of("s1");

    @Test
    void logFaultsCanBeSetOverHttp() throws IOException {
        try (LogServiceStandIn log = new LogServiceStandIn(0);
                TestConnection connection = new TestConnection(log.uri())) {
            String faults = "{\"latencyMillis\":20,\"retainRecords\":5,\"loseAnswersAfterAppend\":1}";
            assertThat(connection
                            .call("PUT", "/.standin/faults", Map.of(), faults)
                            .status())
                    .isEqualTo(200);

            assertThat(log.faults())
                    .isEqualTo(LogFaults.NONE
                            .withLatencyMillis(20)
                            .withRetention(5, 0)
                            .withLostAnswers(1, 0));
        }
    }

    @Test
    void vmListingCanBeSetOverHttp() throws IOException {
        try (VmListStandIn vms = new VmListStandIn(0);
                TestConnection connection = new TestConnection(vms.uri())) {
            connection.call("PUT", "/.standin/vms", Map.of(), "{\"live\":[\"maras-1\"]}");

            assertThat(vms.visibleListing()).isEqualTo(new VmListStandIn.Listing(List.of("maras-1"), List.of()));
            assertThat(connection.get("/vms", "x").body()).isEqualTo("{\"live\":[\"maras-1\"],\"leaving\":[]}");
        }
    }

    @Test
    void backendFaultsCanBeSetOverHttpWhileServerIsFrozen() throws IOException {
        try (BackendServerStandIn server = new BackendServerStandIn(0, DEFAULT_SETTINGS);
                TestConnection connection = new TestConnection(server.uri())) {
            connection.call("PUT", "/.standin/faults", Map.of(), "{\"frozen\":true,\"answerFault\":\"lost\"}");
            assertThat(server.faults())
                    .isEqualTo(BackendFaults.NONE.withFrozen(true).withAnswerFault(AnswerFault.LOST, 0));

            TestConnection.Reply reply = connection.call("PUT", "/.standin/faults", Map.of(), "{}");

            assertThat(reply.status()).isEqualTo(200);
            assertThat(server.faults()).isEqualTo(BackendFaults.NONE);
        }
    }

    @Test
    void runsEndpointReturnsRuns() throws IOException {
        try (BackendServerStandIn server = new BackendServerStandIn(0, DEFAULT_SETTINGS, () -> 5_000);
                TestConnection connection = new TestConnection(server.uri())) {
            connection.get("/rugs/1", "r1");

            assertThat(connection.get("/.standin/runs", "x").body())
                    .isEqualTo("{\"runs\":[{\"server\":\"s1\",\"requestId\":\"r1\",\"method\":\"GET\","
                            + "\"path\":\"/rugs/1\",\"startMicros\":5,\"endMicros\":5}]}");
        }
    }

    @Test
    void silenceEndpointSilencesAllOtherConnections() throws IOException {
        try (BackendServerStandIn server = new BackendServerStandIn(0, DEFAULT_SETTINGS);
                TestConnection old = new TestConnection(server.uri());
                TestConnection control = new TestConnection(server.uri())) {
            old.get("/", "r1");
            control.call("POST", "/.standin/silence", Map.of(), "");
            old.send("GET", "/", Map.of(), "");

            assertThat(old.isSilent()).isTrue();
            assertThat(control.get("/", "r2").status()).isEqualTo(200);
        }
    }

    /** Columns: invalid faults, text that the error message contains. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "not json                        | not",
                "{\"frozn\":true}                | frozn",
                "{\"answerFault\":\"eaten\"}     | eaten",
                "{\"answerFaultCount\":-1}       | answerFaultCount -1 is negative",
                "{\"serviceMillis\":-1}          | serviceMillis -1 is negative",
                "{\"state\":\"fine\"}            | fine",
                "{\"maxConnections\":0}          | maxConnections 0 is not positive"
            })
    void invalidFaultsAreRefusedAndChangeNothing(String faults, String named) throws IOException {
        try (BackendServerStandIn server = new BackendServerStandIn(0, DEFAULT_SETTINGS);
                TestConnection connection = new TestConnection(server.uri())) {
            TestConnection.Reply reply = connection.call("PUT", "/.standin/faults", Map.of(), faults);

            assertThat(reply.status()).isEqualTo(400);
            assertThat(reply.body()).contains(named);
            assertThat(server.faults()).isEqualTo(BackendFaults.NONE);
        }
    }

    /** Columns: configured state, reported load and lag; an empty load means the actual load. */
    @ParameterizedTest
    @CsvSource({"READY, , 0", "COLD, 0.1, 0", "LEAVING, 0.9, 0", "LEAVING, 0.9, 500"})
    void healthReportsConfiguredStateLoadAndLag(HealthState state, Double load, long lagMillis) throws IOException {
        AtomicLong nanos = new AtomicLong(TimeUnit.HOURS.toNanos(1));
        try (BackendServerStandIn server = new BackendServerStandIn(0, DEFAULT_SETTINGS, nanos::get);
                TestConnection connection = new TestConnection(server.uri())) {
            String before = connection.get("/.lacewingthread/health", "x").body();
            server.setFaults(BackendFaults.NONE.withHealth(state, load, lagMillis));
            String after = "{\"state\":\"" + state.name().toLowerCase(Locale.ROOT) + "\",\"load\":"
                    + (load == null ? 0.0 : load) + ",\"held\":[]}";

            assertThat(connection.get("/.lacewingthread/health", "x").body()).isEqualTo(lagMillis > 0 ? before : after);
            nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(lagMillis));
            assertThat(connection.get("/.lacewingthread/health", "x").body()).isEqualTo(after);
        }
    }

    /** Columns: arguments, path, text that the answer contains. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "log                              | /log/routing/records?from=0 | \"end\":-1",
                "vms --live a,b --leaving c       | /vms                        | {\"live\":[\"a\",\"b\"],\"leaving\":[\"c\"]}",
                "server --name s9 --slots 3       | /rugs/1                     | \"server\":\"s9\"",
                "server --checks-tokens true      | /rugs/1                     | names no shard",
                "server --answer-bytes 10         | /rugs/1                     | \"padding\":\"xxxxxxxxxx\""
            })
    void standInStartsFromCommandLineArguments(String line, String path, String contained) throws Exception {
        StandInMain.Started started = StandInMain.start(List.of(line.split(" ")));
        try (AutoCloseable standIn = started.standIn();
                TestConnection connection = new TestConnection(started.uri())) {
            assertThat(connection.get(path, "r1").body()).contains(contained);
        }
    }

    @Test
    void errorForOccupiedPortNamesThePort() throws IOException {
        try (LogServiceStandIn log = new LogServiceStandIn(0)) {
            int port = log.uri().getPort();

            assertThatThrownBy(() -> new VmListStandIn(port))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("loopback port " + port);
        }
    }

    /** Columns: invalid arguments, text that the error message contains. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''                              | no stand-in is named",
                "cluster                         | stand-in \"cluster\" is not known",
                "log --prt 1                     | option \"--prt\" is not known",
                "log --port                      | option \"--port\" has no value",
                "log --port x                    | option \"--port\" has the value \"x\"",
                "log --port 70000                | port 70000 is not in 0 to 65535",
                "log --port 0 --port 0           | option \"--port\" is given twice",
                "server --slots 0                | slots 0 is not positive",
                "server --checks-tokens maybe    | option \"--checks-tokens\" has the value \"maybe\""
            })
    void errorForInvalidArgumentNamesTheArgument(String line, String named) {
        List<String> args = line.isEmpty() ? List.of() : List.of(line.split(" "));

        assertThatThrownBy(() -> StandInMain.start(args))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(named);
    }
}

package org.lacewingthread.bench;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.standin.AnswerFault;
import org.lacewingthread.standin.BackendFaults;
import org.lacewingthread.standin.BackendServerStandIn;
import org.lacewingthread.standin.BackendSettings;

class LoadCommandTest {
    private static final BackendSettings SERVER = BackendSettings.of("s1").withSlots(4, 1_000);

    private static String load(BackendServerStandIn server, int expectedExitCode) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int exitCode = LoadCommand.run(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                "--url",
                server.uri().toString(),
                "--rate",
                "500",
                "--requests",
                "200",
                "--warm-up-seconds",
                "0",
                "--deadline-millis",
                "5000");
        assertThat(exitCode).isEqualTo(expectedExitCode);
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void sendsEachRequestOnceAndCountsIt() throws Exception {
        try (BackendServerStandIn server = new BackendServerStandIn(0, SERVER)) {
            String report = load(server, 0);

            assertThat(server.runs()).hasSize(200);
            assertThat(server.runs())
                    .extracting(run -> run.path().replaceAll(".*n=", ""))
                    .doesNotHaveDuplicates();
            assertThat(report).containsPattern("total +goodput [0-9]+/s +succeeded 200 ");
        }
    }

    @Test
    void countsRefusalsByCode() throws Exception {
        try (BackendServerStandIn server = new BackendServerStandIn(0, SERVER)) {
            server.setFaults(BackendFaults.NONE.withShedding(true));

            assertThat(load(server, 0)).contains("http-503=").containsPattern("total .*succeeded 0 .*failed 200 ");
        }
    }

    @Test
    void reportsAnAnswerToAnotherRequest() throws Exception {
        try (BackendServerStandIn server = new BackendServerStandIn(0, SERVER)) {
            server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.DUPLICATED, 1));

            assertThat(load(server, 1)).doesNotContain("answers to other requests: 0");
        }
    }

    @Test
    void countsATruncatedAnswerAsLost() throws Exception {
        try (BackendServerStandIn server = new BackendServerStandIn(0, SERVER)) {
            server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.TRUNCATED, 3));

            assertThat(load(server, 0)).contains("answer-lost=").containsPattern("total .*failed 3 ");
        }
    }

    /** Each row has invalid options and a text that the error message must contain. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--rate 5                                              | url",
                "--url http://192.0.2.1:80                             | loopback",
                "--url http://127.0.0.1                                | loopback",
                "--url https://127.0.0.1:1                             | loopback",
                "--url http://127.0.0.1:1 --rate 0                     | rate 0 is not in 1",
                "--url http://127.0.0.1:1 --rate x                     | x",
                "--url http://127.0.0.1:1 --seconds 601                | seconds 601 is not in 1 to 600",
                "--url http://127.0.0.1:1 --mix 1,2                    | number of weights in mix 2",
                "--url http://127.0.0.1:1 --mix 0,0,0                  | all weights are 0",
                "--url http://127.0.0.1:1 --lookup-path /rugs          | path \"/rugs\" of lookup",
                "--url http://127.0.0.1:1 --hot-key-share 1.5          | hot-key-share 1.5",
                "--url http://127.0.0.1:1 --speed 5                    | speed"
            })
    void rejectsAnInvalidOptionAndNamesIt(String line, String expectedMessagePart) {
        assertThatThrownBy(() -> LoadOptions.parse(line.split(" ")))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(expectedMessagePart);
    }
}

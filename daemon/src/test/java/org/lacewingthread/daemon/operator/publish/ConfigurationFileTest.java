package org.lacewingthread.daemon.operator.publish;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.daemon.settings.SettingsException;

class ConfigurationFileTest {
    private static final Path EXAMPLE = Path.of("..", "docs", "examples", "routing.json");

    @TempDir
    private Path directory;

    @Test
    void exampleIsReadWithoutProblems() throws Exception {
        ConfigurationFile file = ConfigurationFile.read(EXAMPLE);

        RoutingConfiguration configuration = file.configuration();
        assertThat(configuration.applications().get(0).selectors().get(1).key())
                .isEqualTo(new KeySource(KeySource.Kind.HEADER, "Yarn-Account"));
        assertThat(configuration.servers().get(0).checksTokens()).isTrue();
        assertThat(configuration.servers().get(1).checksTokens()).isFalse();
        assertThat(configuration.servers().get(1).labels()).containsExactly(new Label("app", "ledger"));
        assertThat(file.problems(RoutingConfiguration.EMPTY)).isEmpty();
    }

    @Test
    void formattedConfigurationReadsBackEqual() throws Exception {
        RoutingConfiguration configuration = ConfigurationFile.read(EXAMPLE).configuration();

        Path copy = write(ConfigurationFile.format(configuration));

        assertThat(ConfigurationFile.read(copy).configuration()).isEqualTo(configuration);
    }

    static Stream<Arguments> invalidEdits() {
        return Stream.of(
                Arguments.of(
                        "\"port\": 8080",
                        "\"prot\": 8080",
                        "routing.json:38: field \"servers[0].prot\" is not known;" + " did you mean \"port\"?"),
                Arguments.of(
                        "\"slots\": 2",
                        "\"slots\": \"two\"",
                        "routing.json:41: field \"servers[0].slots\" is missing or of the wrong type; give a whole number"),
                Arguments.of(
                        "\"shardCount\": 1024", "\"shardCount\": 1000", "shard count 1000 of application \"ledger\""),
                Arguments.of("\"port\": 8080", "\"port\": 80800", "in \"servers[0]\": port 80800 of server"),
                Arguments.of(
                        "\"MINIMISE_UNAVAILABLE\",",
                        "\"FAST\",",
                        "routing.json:9: field \"applications[0].profile\" has value \"FAST\"; use one of"),
                Arguments.of("\"pathSegment\": 1", "", "key has 0 sources; give exactly one of"),
                Arguments.of(
                        "\"pathSegment\": 1",
                        "\"pathSegment\": 1, \"header\": \"Rug\"",
                        "in \"applications[0].selectors[0].key\": key has 2 sources"),
                Arguments.of("\"pathSegment\": 1", "\"pathSegment\": -1", "path segment \"-1\""),
                Arguments.of("\"GET\"", "\"GET\", null", "\"methods[1]\" is null; leave it out"),
                Arguments.of(
                        "\"host\": \"10.1.0.1\",",
                        "",
                        "server \"maras-ledger-1\" needs an id, a data centre and a host"),
                Arguments.of("\"slots\": 2,", "", "servers[0]"),
                Arguments.of("\"id\": \"maras-ledger-1\",", "", "server id is missing"),
                Arguments.of("\"app\": \"ledger\"", "\"app\": null", "label needs a name and a value"),
                Arguments.of("\"id\": \"ledger\",", "\"id\": \"ledger\", \"id\": \"desk\",", "Duplicate field 'id'"),
                Arguments.of("\"applications\": [", "\"applications\": ", "not valid JSON"));
    }

    @ParameterizedTest(name = "{0} replaced by {1}")
    @MethodSource("invalidEdits")
    void errorContainsFileLineFieldAndRemedy(String right, String wrong, String message) throws Exception {
        String text = Files.readString(EXAMPLE);
        int at = text.indexOf(right);
        Path file = write(text.substring(0, at) + wrong + text.substring(at + right.length()));

        assertThatThrownBy(() -> ConfigurationFile.read(file))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("routing.json:")
                .hasMessageContaining(message);
    }

    @Test
    void validationProblemIsDescribedWithItsLine() throws Exception {
        String text = Files.readString(EXAMPLE);
        Path file = write(text.replace("calca-ledger-1", "maras-ledger-1").replace("Yarn-Account", "Yarn Account"));

        ConfigurationFile read = ConfigurationFile.read(file);

        assertThat(read.problems(RoutingConfiguration.EMPTY).stream().map(read::describe))
                .containsExactly(
                        file + ":28: applications[0].selectors[1].key.name: \"Yarn Account\" is no HTTP header name;"
                                + " use letters and hyphens",
                        file + ":49: servers[1].id: \"maras-ledger-1\" is used by servers[0] already; choose another");
        assertThat(read.problems(RoutingConfiguration.EMPTY))
                .extracting(ConfigurationValidator.Problem::isError)
                .containsOnly(true);
    }

    private Path write(String text) throws IOException {
        return Files.writeString(directory.resolve("routing.json"), text);
    }
}

package org.lacewingthread.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CheckCommandTest {
    private static final String SETTINGS_EXAMPLE =
            Path.of("..", "docs", "examples", "entry.json").toString();

    private final CommandLine commandLine = new CommandLine();

    @TempDir
    private Path directory;

    @Test
    void validFileIsReportedWithItsVm() {
        assertThat(commandLine.run("check", SETTINGS_EXAMPLE)).isEqualTo(ExitCode.OK);
        assertThat(commandLine.out()).isEqualTo(SETTINGS_EXAMPLE + ": valid settings of VM \"maras-1\"\n");
    }

    @Test
    void invalidFileExitsWithInvalidFileCode() throws IOException {
        Path file = Files.writeString(directory.resolve("entry.json"), "{\n  \"vn\": \"maras-1\"\n}\n");
        assertThat(commandLine.run("check", file.toString())).isEqualTo(ExitCode.INVALID_FILE);
        assertThat(commandLine.err()).isEqualTo(file + ":2: field \"vn\" is not known; did you mean \"vm\"?\n");
    }

    @Test
    void missingFileArgumentIsUsageError() {
        assertThat(commandLine.run("check")).isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.err()).isEqualTo("no file given; name at least one settings file\n");
    }

    @Test
    void unknownCommandPointsToHelp() {
        assertThat(commandLine.run("chek")).isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.err()).isEqualTo("command \"chek\" does not exist; run \"lacewingthread --help\"\n");
    }

    @Test
    void unknownOptionPointsToHelp() {
        assertThat(commandLine.run("check", "--colour")).isEqualTo(ExitCode.USAGE);
        assertThat(commandLine.err())
                .isEqualTo("colour is not a recognized option; run \"lacewingthread check --help\"\n");
    }
}

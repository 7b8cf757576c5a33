package org.lacewingthread.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lacewingthread.core.control.ControlSettings;

class EntrySettingsTest {
    private static final Path EXAMPLE = Path.of("..", "docs", "examples", "entry.json");

    @TempDir
    private Path directory;

    @Test
    void exampleWithCommentsIsRead() throws SettingsException {
        EntrySettings settings = StrictJson.read(EXAMPLE, EntrySettings.class);
        assertThat(settings.vm()).isEqualTo("maras-1");
        assertThat(settings.timing()).isEqualTo(ControlSettings.DEFAULT);
    }

    @Test
    void missingFileIsReportedWithItsPath() {
        Path missing = directory.resolve("missing.json");
        assertThatThrownBy(() -> StrictJson.read(missing, EntrySettings.class))
                .isInstanceOf(SettingsException.class)
                .hasMessage("file \"" + missing + "\" does not exist");
    }

    @ParameterizedTest(name = "{0} -> {1}")
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '~',
            textBlock =
                    """
            "callerPort": 8080 | "callerPrt": 8080 | :8: field "callerPrt" is not known; did you mean "callerPort"?
            "callerPort": 8080 | "callerPort": "8080" | field "callerPort" is missing or of the wrong type; give a whole number without quotes
            "callerPort": 8080 | "callerPort": 0 | field "callerPort" has value 0; give 1 to 65535
            "callerPort": 8080 | "callerPort": 70000 | field "callerPort" has value 70000; give 1 to 65535
            "callerPort": 8080 | "callerPort": 7400 | callerPort 7400, peerPort 7400 and operatorPort 9100 must differ
            "callerPort": 8080 | "callerPort": 80.5 | field "callerPort"
            "vm": "maras-1" | "vm": "Maras 1" | VM id "Maras 1" is not valid; use lower-case letters
            "vm": "maras-1" | "vm": null | VM id is missing
            "logPort": 7100 | "logPort": -1 | field "platform.logPort" has value -1; give 1 to 65535
            "maxBodyBytes": 1048576 | "maxBodyBytes": 99999999 | field "limits.maxBodyBytes" has value 99999999
            "leaderLeaseMillis": 400 | "leaderLeaseMillis": 900 | dispatchLeaseMillis 750 must outlast leader lease
            "dispatchLeaseMillis": 750 | "dispatchLeaseMillis": 1400 | they must stay below 2000 ms
            "serverLeaseMillis": 850 | "serverLeaseMillis": 1300 | they must stay below 2000 ms
            "clockRateMarginRatio": 0.02 | "clockRateMarginRatio": 0 | clockRateMarginRatio 0.0 must be between 0 and 0.2
            """)
    void invalidValueIsReportedWithFieldAndRemedy(String original, String replacement, String message)
            throws IOException {
        String text = Files.readString(EXAMPLE);
        assertThat(text).contains(original);
        Path file = directory.resolve("entry.json");
        Files.writeString(file, text.replaceFirst(original, replacement));
        assertThatThrownBy(() -> StrictJson.read(file, EntrySettings.class))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(file.toString())
                .hasMessageContaining(message);
    }
}

package org.lacewingthread.daemon.operator.publish;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.lacewingthread.core.config.ConfigurationValidator;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.daemon.settings.SettingsException;
import org.lacewingthread.daemon.settings.StrictJson;

/**
 * A routing configuration in a file: JSON with comments.
 *
 * <pre>{@code
 * ConfigurationFile file = ConfigurationFile.read(Path.of("routing.json"));
 * for (ConfigurationValidator.Problem problem : file.problems(inForce)) {
 *     System.err.println(file.describe(problem));
 * }
 * publisher.publish(base, file.configuration(), deadlineMillis);
 * }</pre>
 */
public final class ConfigurationFile {
    private static final JsonMapper WRITER = JsonMapper.builder()
            .enable(SerializationFeature.INDENT_OUTPUT)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private final Path path;
    private final RoutingConfiguration configuration;
    private final FieldLines lines;

    private ConfigurationFile(Path path, RoutingConfiguration configuration, FieldLines lines) {
        this.path = path;
        this.configuration = configuration;
        this.lines = lines;
    }

    /**
     * Reads a file.
     *
     * @throws SettingsException if it can't be read, holds an unknown field, a value of the wrong type or
     *     a value out of range; the message names file, line, field and a remedy
     */
    public static ConfigurationFile read(Path path) throws SettingsException {
        RoutingConfiguration configuration =
                StrictJson.read(path, ConfigurationJson.class).toConfiguration();
        try {
            return new ConfigurationFile(path, configuration, FieldLines.of(Files.readString(path)));
        } catch (IOException e) {
            throw new SettingsException("file \"" + path + "\" can't be read: " + e.getMessage(), e);
        }
    }

    /** Returns the configuration. */
    public RoutingConfiguration configuration() {
        return configuration;
    }

    /** Returns what is wrong with the configuration as a whole if it is to replace another. */
    public List<ConfigurationValidator.Problem> problems(RoutingConfiguration previous) {
        return ConfigurationValidator.validate(configuration, previous);
    }

    /** Returns a problem with the file and the line of its field. */
    public String describe(ConfigurationValidator.Problem problem) {
        return path + ":" + lines.lineOf(problem.path()) + ": " + problem;
    }

    /** Returns the text of a file that holds a configuration. */
    public static String format(RoutingConfiguration configuration) {
        try {
            return WRITER.writeValueAsString(ConfigurationJson.of(configuration)) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration can't be written as JSON", e);
        }
    }
}

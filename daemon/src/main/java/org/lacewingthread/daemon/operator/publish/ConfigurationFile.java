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
 * Routing configuration read from a file of JSON with comments, with the line number of each field.
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
     * Reads a configuration file.
     *
     * @throws SettingsException if the file can't be read or contains an unknown field, a value of the wrong type or a
     *     value out of range; the message names the file, the line, the field and what to write instead
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

    /** Returns the problems of the configuration as a whole, as a replacement of the previous one. */
    public List<ConfigurationValidator.Problem> problems(RoutingConfiguration previous) {
        return ConfigurationValidator.validate(configuration, previous);
    }

    /** Returns a description of the problem with the path of the file and the line of the field. */
    public String describe(ConfigurationValidator.Problem problem) {
        return path + ":" + lines.lineOf(problem.path()) + ": " + problem;
    }

    /** Returns a configuration as JSON text that {@link #read} accepts. */
    public static String format(RoutingConfiguration configuration) {
        try {
            return WRITER.writeValueAsString(ConfigurationJson.of(configuration)) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("configuration can't be written as JSON", e);
        }
    }
}

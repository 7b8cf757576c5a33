package org.lacewingthread.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.exc.InvalidFormatException;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.exc.ValueInstantiationException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Reads JSON with comments into records and rejects unknown fields, duplicate fields, values of the wrong type and
 * missing numbers. Each error names the file, the line, the field and what to write instead.
 *
 * <pre>{@code
 * EntrySettings settings = StrictJson.read(Path.of("entry.json"), EntrySettings.class);
 * }</pre>
 */
public final class StrictJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .build();

    private StrictJson() {}

    /**
     * Reads a file into a record.
     *
     * @param file path of the JSON file
     * @param type record class whose components are the fields of the document
     * @return the record with the values of the file
     * @throws SettingsException if the file can't be read or does not match the record
     */
    public static <T> T read(Path file, Class<T> type) throws SettingsException {
        try {
            String text = Files.readString(file);
            try (JsonParser parser = MAPPER.createParser(text)) {
                new FieldNameCheck(file, parser).check(type);
            }
            return MAPPER.readValue(text, type);
        } catch (NoSuchFileException e) {
            throw new SettingsException("file \"" + file + "\" does not exist", e);
        } catch (JsonProcessingException e) {
            throw new SettingsException(describe(file, e), e);
        } catch (IOException e) {
            throw new SettingsException("file \"" + file + "\" can't be read: " + e.getMessage(), e);
        }
    }

    private static String describe(Path file, JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        String line = location == null ? "" : ":" + location.getLineNr();
        return file + line + ": " + describeProblem(e);
    }

    private static String describeProblem(JsonProcessingException e) {
        if (e instanceof InvalidFormatException format) {
            return "field \"" + fieldPath(format) + "\" has value \"" + format.getValue() + "\"; "
                    + describeExpectedValue(format.getTargetType());
        }
        if (e instanceof ValueInstantiationException invalid && invalid.getCause() != null) {
            return "in \"" + fieldPath(invalid) + "\": " + invalid.getCause().getMessage();
        }
        if (e instanceof MismatchedInputException mismatched) {
            return "field \"" + fieldPath(mismatched) + "\" is missing or of the wrong type; "
                    + describeExpectedValue(mismatched.getTargetType());
        }
        return "not valid JSON: " + e.getOriginalMessage();
    }

    private static String fieldPath(JsonMappingException e) {
        return e.getPath().stream()
                .map(part -> part.getFieldName() == null ? "[" + part.getIndex() + "]" : part.getFieldName())
                .collect(Collectors.joining("."))
                .replace(".[", "[");
    }

    private static String describeExpectedValue(Class<?> type) {
        if (type == null) {
            return "give a value that fits";
        }
        if (type.isEnum()) {
            Object[] constants = type.getEnumConstants();
            return "use one of "
                    + Arrays.stream(constants).map(Object::toString).collect(Collectors.joining(", "));
        }
        if (type == int.class || type == long.class || type == Integer.class || type == Long.class) {
            return "give a whole number without quotes";
        }
        if (type == boolean.class || type == Boolean.class) {
            return "give true or false without quotes";
        }
        return "give a " + type.getSimpleName().toLowerCase(Locale.ROOT);
    }
}

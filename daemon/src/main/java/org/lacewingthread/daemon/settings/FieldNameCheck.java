package org.lacewingthread.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Reports the first field of a JSON document that its record type does not declare, with its line. Runs before values
 * are read, so that an unknown field is reported before any value that is not valid.
 */
final class FieldNameCheck {
    private static final int MAX_SUGGESTION_DISTANCE = 3;

    private final Path file;
    private final JsonParser parser;

    FieldNameCheck(Path file, JsonParser parser) {
        this.file = file;
        this.parser = parser;
    }

    /**
     * Checks the field names of the whole document, including those of nested objects and lists.
     *
     * @param type record class that the document is to be read into
     * @throws SettingsException on the first unknown field
     * @throws IOException if the document is not valid JSON
     */
    void check(Class<?> type) throws SettingsException, IOException {
        parser.nextToken();
        checkValue(type, "");
    }

    private void checkValue(Type type, String path) throws SettingsException, IOException {
        if (parser.currentToken() == JsonToken.START_ARRAY && type instanceof ParameterizedType list) {
            checkArray(list.getActualTypeArguments()[0], path);
        } else if (parser.currentToken() == JsonToken.START_OBJECT
                && type instanceof Class<?> record
                && record.isRecord()) {
            checkObject(record, path);
        } else {
            parser.skipChildren();
        }
    }

    private void checkArray(Type elementType, String path) throws SettingsException, IOException {
        int index = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            checkValue(elementType, path + "[" + index + "]");
            index++;
        }
    }

    private void checkObject(Class<?> record, String path) throws SettingsException, IOException {
        Map<String, RecordComponent> components = Arrays.stream(record.getRecordComponents())
                .collect(Collectors.toMap(RecordComponent::getName, Function.identity()));
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            RecordComponent component = components.get(name);
            String fieldPath = path.isEmpty() ? name : path + "." + name;
            if (component == null) {
                throw unknownField(fieldPath, name, List.copyOf(components.keySet()));
            }
            parser.nextToken();
            checkValue(component.getGenericType(), fieldPath);
        }
    }

    private SettingsException unknownField(String fieldPath, String name, List<String> known) {
        String remedy = known.stream()
                .min(Comparator.comparingInt(candidate -> editDistance(candidate, name)))
                .filter(candidate -> editDistance(candidate, name) <= MAX_SUGGESTION_DISTANCE)
                .map(candidate -> "did you mean \"" + candidate + "\"?")
                .orElse("known fields are " + known.stream().sorted().collect(Collectors.joining(", ")));
        int line = parser.currentTokenLocation().getLineNr();
        return new SettingsException(file + ":" + line + ": field \"" + fieldPath + "\" is not known; " + remedy);
    }

    /** Returns the Levenshtein distance between two names. */
    private static int editDistance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        Arrays.setAll(previous, j -> j);
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(substitution, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}

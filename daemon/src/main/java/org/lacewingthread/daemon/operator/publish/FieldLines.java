package org.lacewingthread.daemon.operator.publish;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Line numbers of all fields of a JSON document with comments, by path, such as {@code servers[1].port}. */
final class FieldLines {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build();

    private final Map<String, Integer> lines = new HashMap<>();

    private FieldLines() {}

    static FieldLines of(String text) throws IOException {
        FieldLines result = new FieldLines();
        try (JsonParser parser = MAPPER.createParser(text)) {
            parser.nextToken();
            result.addValue(parser, "");
        }
        return result;
    }

    private void addValue(JsonParser parser, String path) throws IOException {
        lines.putIfAbsent(path, parser.currentTokenLocation().getLineNr());
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            addFields(parser, path);
        } else if (parser.currentToken() == JsonToken.START_ARRAY) {
            addElements(parser, path);
        }
    }

    private void addFields(JsonParser parser, String path) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            addValue(parser, path.isEmpty() ? name : path + "." + name);
        }
    }

    private void addElements(JsonParser parser, String path) throws IOException {
        int index = 0;
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            addValue(parser, path + "[" + index + "]");
            index++;
        }
    }

    /** Returns the line of a field or, if the document lacks it, of the innermost enclosing element that it has. */
    int lineOf(String path) {
        String part = path;
        while (!part.isEmpty() && !lines.containsKey(part)) {
            int end = Math.max(part.lastIndexOf('.'), part.lastIndexOf('['));
            part = end < 0 ? "" : part.substring(0, end);
        }
        return lines.get(part);
    }
}

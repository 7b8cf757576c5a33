package org.lacewingthread.daemon.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One event in a VM's log.
 *
 * @param atUnixMillis Unix time in milliseconds at which it was written
 * @param vm id of the VM that wrote it
 * @param event event name in dotted lower case
 * @param fields all fields, including time, VM and event name
 */
record LogLine(long atUnixMillis, String vm, String event, JsonNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TIME_FIELD = "at_unix_ms";
    private static final String VM_FIELD = "vm";
    private static final String EVENT_FIELD = "event";
    private static final Set<String> COMMON_FIELDS = Set.of(TIME_FIELD, VM_FIELD, EVENT_FIELD);

    /**
     * Parses a line. Text before the first brace, such as a timestamp added by a log collector, is ignored.
     *
     * @return empty if the line is not an event
     */
    static Optional<LogLine> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode fields = MAPPER.readTree(line.substring(start));
            boolean complete = fields.path(TIME_FIELD).isIntegralNumber()
                    && fields.path(VM_FIELD).isTextual()
                    && fields.path(EVENT_FIELD).isTextual();
            return complete
                    ? Optional.of(new LogLine(
                            fields.path(TIME_FIELD).longValue(),
                            fields.path(VM_FIELD).textValue(),
                            fields.path(EVENT_FIELD).textValue(),
                            fields))
                    : Optional.empty();
        } catch (JsonProcessingException e) {
            // Collected logs also contain other output, which is ignored.
            return Optional.empty();
        }
    }

    /** Returns a field as text, or an empty string if it is absent. */
    String text(String field) {
        return fields.path(field).asText("");
    }

    /** Returns a field as a number, or 0 if it is absent or not numeric. */
    long number(String field) {
        return fields.path(field).asLong();
    }

    /** Returns all fields except time, VM and event name, as space-separated {@code name=value} pairs. */
    String details() {
        StringBuilder details = new StringBuilder();
        for (Iterator<Map.Entry<String, JsonNode>> all = fields.fields(); all.hasNext(); ) {
            Map.Entry<String, JsonNode> field = all.next();
            if (!COMMON_FIELDS.contains(field.getKey())) {
                details.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        return details.toString().trim();
    }

    /** Returns a copy of the fields as a JSON object. */
    ObjectNode json() {
        return fields.deepCopy();
    }
}

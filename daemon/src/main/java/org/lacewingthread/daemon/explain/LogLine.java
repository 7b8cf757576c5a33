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
 * One line of a VM's log.
 *
 * @param atUnixMillis time of day at which it was written
 * @param vm VM that wrote it
 * @param event what happened, in dotted lower case
 * @param fields all fields of the line
 */
record LogLine(long atUnixMillis, String vm, String event, JsonNode fields) {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TIME_FIELD = "at_unix_ms";
    private static final String VM_FIELD = "vm";
    private static final String EVENT_FIELD = "event";
    private static final Set<String> COMMON_FIELDS = Set.of(TIME_FIELD, VM_FIELD, EVENT_FIELD);

    /** Reads a line; text before the first brace, such as a collector's time stamp, is skipped. */
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
            // Collected logs hold other output too; a line that is not JSON tells nothing about requests.
            return Optional.empty();
        }
    }

    String text(String field) {
        return fields.path(field).asText("");
    }

    long number(String field) {
        return fields.path(field).asLong();
    }

    /** Returns the fields that are particular to the event, as {@code name=value}. */
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

    ObjectNode json() {
        return fields.deepCopy();
    }
}

package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.RegistryChanges;
import org.lacewingthread.core.registry.ServerEntry;

/** Converts changes of the registry to and from JSON messages between entry VMs. */
final class RegistryChangesJson {
    private static final String CHANGED = "changedServers";
    private static final String REMOVED = "removedServers";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RegistryChangesJson() {}

    /** Returns whether a message has changes of the registry. */
    static boolean isChanges(JsonNode message) {
        return message.has(CHANGED);
    }

    static ObjectNode write(RegistryChanges changes) {
        ObjectNode message = MAPPER.createObjectNode()
                .put("era", changes.era())
                .put("from", changes.from())
                .put("to", changes.to());
        ArrayNode changed = message.putArray(CHANGED);
        changes.changed().forEach(entry -> changed.addObject()
                .put("id", entry.start().server().value())
                .put("started", entry.start().startedUnixMillis())
                .put("service", entry.service().value())
                .put("host", entry.host())
                .put("port", entry.port())
                .put("dataCentre", entry.dataCentre().value())
                .put("slots", entry.slots())
                .put("draining", entry.draining())
                .put("cold", entry.cold()));
        ArrayNode removed = message.putArray(REMOVED);
        changes.removed().forEach(server -> removed.add(server.value()));
        return message;
    }

    /**
     * Reads changes written by {@link #write}.
     *
     * @throws IllegalArgumentException if the message has no valid changes
     */
    static RegistryChanges read(JsonNode message) {
        List<ServerEntry> changed = new ArrayList<>();
        for (JsonNode entry : message.path(CHANGED)) {
            changed.add(new ServerEntry(
                    new ServerStart(
                            new ServerId(entry.path("id").asText()),
                            entry.path("started").asLong()),
                    new ServiceId(entry.path("service").asText()),
                    entry.path("host").asText(),
                    entry.path("port").asInt(),
                    new DataCentreId(entry.path("dataCentre").asText()),
                    entry.path("slots").asInt(),
                    entry.path("draining").asBoolean(),
                    entry.path("cold").asBoolean()));
        }
        List<ServerId> removed = new ArrayList<>();
        message.path(REMOVED).forEach(server -> removed.add(new ServerId(server.asText())));
        return new RegistryChanges(
                message.path("era").asLong(),
                message.path("from").asLong(),
                message.path("to").asLong(),
                changed,
                removed);
    }
}

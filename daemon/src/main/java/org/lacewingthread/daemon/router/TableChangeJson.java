package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.lacewingthread.core.keyrange.LogPosition;
import org.lacewingthread.core.keyrange.RangeTableDelta;

/** Converts changes of the range table to and from JSON messages between entry VMs. */
final class TableChangeJson {
    private static final String CHANGES = "tableChange";
    private static final String ERA = "tableChangeEra";
    private static final String FROM = "tableChangeFrom";
    private static final String END = "tableEnd";
    private static final String CHECKSUM = "tableChangeChecksum";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableChangeJson() {}

    /** Returns whether a message has a change of the range table. */
    static boolean isChange(JsonNode message) {
        return message.has(CHANGES);
    }

    static ObjectNode write(ReportChannel.TableChange change) {
        return MAPPER.createObjectNode()
                .put(CHANGES, RangeTableJson.writeBase64(change.delta().changes()))
                .put(CHECKSUM, change.delta().checksum())
                .put(ERA, change.before().era())
                .put(FROM, change.before().end())
                .put(END, change.logEnd());
    }

    /**
     * Reads a change written by {@link #write}.
     *
     * @throws IOException if the message has no valid range table
     */
    static ReportChannel.TableChange read(JsonNode message) throws IOException {
        RangeTableDelta delta = new RangeTableDelta(
                RangeTableJson.readCompressed(message.path(CHANGES).binaryValue()),
                message.path(CHECKSUM).asLong());
        LogPosition before =
                new LogPosition(message.path(ERA).asLong(), message.path(FROM).asLong());
        return new ReportChannel.TableChange(delta, before, message.path(END).asLong());
    }
}

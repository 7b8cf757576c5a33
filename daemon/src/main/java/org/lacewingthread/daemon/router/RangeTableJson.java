package org.lacewingthread.daemon.router;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.id.VmId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.keyrange.KeyRange;
import org.lacewingthread.core.keyrange.Leader;
import org.lacewingthread.core.keyrange.RangeOwnership;
import org.lacewingthread.core.keyrange.RangeTable;

/** Converts range tables to and from JSON, the form in which they are recorded, so that operators can read them. */
public final class RangeTableJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RangeTableJson() {}

    /** Returns a range table as JSON. */
    public static byte[] write(RangeTable table) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("term", table.term());
        table.leader().ifPresent(leader -> root.set("leader", write(leader)));
        if (table.era() > 0) {
            root.put("era", table.era()).put("lossPending", table.lossPending());
        }
        ArrayNode former = root.putArray("formerLeaders");
        table.formerLeaders().forEach(leader -> former.add(write(leader)));
        ObjectNode services = root.putObject("services");
        table.rangesByService().forEach((service, ranges) -> {
            ArrayNode rows = services.putArray(service.value());
            ranges.forEach(ownership -> writeRow(rows.addArray(), ownership));
        });
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the range table of term " + table.term() + " as JSON", e);
        }
    }

    /** Returns a range table as compressed JSON, so that it fits into a datagram. */
    static byte[] writeCompressed(RangeTable table) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
            gzip.write(write(table));
        } catch (IOException e) {
            throw new IllegalStateException("cannot compress the range table of term " + table.term(), e);
        }
        return bytes.toByteArray();
    }

    /** Returns a range table as compressed JSON in base64, which a JSON message can hold. */
    static String writeBase64(RangeTable table) {
        return Base64.getEncoder().encodeToString(writeCompressed(table));
    }

    /**
     * Reads a range table written by {@link #writeCompressed}.
     *
     * @throws IOException if the bytes are not a compressed range table
     */
    static RangeTable readCompressed(byte[] bytes) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
            return read(gzip.readAllBytes());
        }
    }

    private static void writeRow(ArrayNode row, RangeOwnership ownership) {
        row.add(ownership.range().firstKey()).add(ownership.range().lastKey());
        writeServer(row, ownership.owner());
        ownership.movingFrom().ifPresent(from -> writeServer(row, from));
    }

    private static void writeServer(ArrayNode row, ServerStart server) {
        row.add(server.server().value()).add(server.startedUnixMillis());
    }

    /**
     * Reads a range table written by {@link #write(RangeTable)}.
     *
     * @throws IOException if the bytes are not a range table
     */
    public static RangeTable read(byte[] bytes) throws IOException {
        try {
            JsonNode root = MAPPER.readTree(bytes);
            Optional<Leader> leader =
                    root.has("leader") ? Optional.of(readLeader(root.get("leader"))) : Optional.empty();
            List<Leader> former = new ArrayList<>();
            root.get("formerLeaders").forEach(node -> former.add(readLeader(node)));
            Map<ServiceId, List<RangeOwnership>> services = new TreeMap<>();
            root.get("services")
                    .fields()
                    .forEachRemaining(field -> services.put(new ServiceId(field.getKey()), readRows(field.getValue())));
            return new RangeTable(
                    root.get("term").longValue(),
                    leader,
                    former,
                    services,
                    root.path("era").asLong(),
                    root.path("lossPending").asBoolean());
        } catch (IllegalArgumentException | NullPointerException e) {
            throw new IOException(
                    "the record is not a JSON range table: " + new String(bytes, StandardCharsets.UTF_8), e);
        }
    }

    private static ObjectNode write(Leader leader) {
        return MAPPER.createObjectNode()
                .put("vm", leader.process().vm().value())
                .put("start", leader.process().startNumber())
                .put("host", leader.reportHost())
                .put("port", leader.reportPort());
    }

    private static Leader readLeader(JsonNode node) {
        VmStart process = new VmStart(
                new VmId(node.get("vm").textValue()), node.get("start").longValue());
        return new Leader(
                process, node.get("host").textValue(), node.get("port").intValue());
    }

    private static List<RangeOwnership> readRows(JsonNode rows) {
        List<RangeOwnership> ranges = new ArrayList<>();
        for (JsonNode row : rows) {
            KeyRange range = new KeyRange(row.get(0).intValue(), row.get(1).intValue());
            Optional<ServerStart> from = row.size() > 4 ? Optional.of(readServer(row, 4)) : Optional.empty();
            ranges.add(new RangeOwnership(range, readServer(row, 2), from));
        }
        return ranges;
    }

    private static ServerStart readServer(JsonNode row, int column) {
        return new ServerStart(
                new ServerId(row.get(column).textValue()), row.get(column + 1).longValue());
    }
}

package org.lacewingthread.daemon.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.WriterId;
import org.lacewingthread.core.log.LogEntry;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.RecordHeader;

/**
 * Encodes log records to the bytes stored in the platform's log and decodes them.
 *
 * <p>A record is encoded as a JSON object with a format version, the name of its type, its header and its body; if the
 * JSON is longer than 4 KiB, it is compressed with gzip. Bytes that can't be decoded become
 * {@link LogRecord.Unreadable}, the same on every VM, so that no record can stop a replica.
 *
 * <pre>{@code
 * LogRecordCodec codec = new LogRecordCodec();
 * LogOffset offset = log.append(codec.encode(header, record));
 * LogEntry entry = codec.decode(offset, bytes);
 * }</pre>
 *
 * <p>Records with unknown fields or a newer format version are unreadable as well. A new kind of record or a new field
 * must therefore not be written before every running VM can read it.
 *
 * <p>Safe for use by several threads.
 */
public final class LogRecordCodec {
    /** Default size limit of an encoded record, in bytes. */
    public static final int DEFAULT_MAX_RECORD_BYTES = 1 << 20;

    /** Version of the record format that this class writes and reads. */
    public static final int FORMAT_VERSION = 1;

    private static final int COMPRESSION_THRESHOLD_BYTES = 4 << 10;
    private static final int MAX_DECOMPRESSED_BYTES = 32 << 20;
    private static final int GZIP_FIRST_BYTE = 0x1f;
    private static final int GZIP_SECOND_BYTE = 0x8b;
    private static final int MAX_REASON_CHARS = 300;
    private static final RecordHeader UNREADABLE_HEADER =
            new RecordHeader(new WriterId("unreadable"), 0, "unreadable", 0);

    /** Thrown when an encoded record exceeds the size limit. */
    public static final class RecordTooLargeException extends Exception {
        RecordTooLargeException(String type, int sizeBytes, int maxBytes) {
            super("record of type \"" + type + "\" takes " + sizeBytes + " bytes, more than the limit of " + maxBytes
                    + "; split it into several records");
        }
    }

    private final ObjectMapper mapper = RecordJson.newMapper();
    private final int maxRecordBytes;

    /** Creates a codec with {@link #DEFAULT_MAX_RECORD_BYTES}. */
    public LogRecordCodec() {
        this(DEFAULT_MAX_RECORD_BYTES);
    }

    /**
     * Creates a codec.
     *
     * @param maxRecordBytes size limit of an encoded record, in bytes
     * @throws IllegalArgumentException if the limit is not positive
     */
    public LogRecordCodec(int maxRecordBytes) {
        if (maxRecordBytes < 1) {
            throw new IllegalArgumentException("maxRecordBytes " + maxRecordBytes + " is not positive");
        }
        this.maxRecordBytes = maxRecordBytes;
    }

    /**
     * Encodes a record.
     *
     * @throws RecordTooLargeException if the encoded record is larger than the limit
     */
    public byte[] encode(RecordHeader header, LogRecord body) throws RecordTooLargeException {
        RecordKind kind = RecordKind.of(body);
        ObjectNode root = mapper.createObjectNode();
        root.put("version", FORMAT_VERSION);
        root.put("type", kind.typeName());
        root.set("header", mapper.valueToTree(header));
        root.set("body", mapper.valueToTree(body));
        byte[] encoded = serialize(root);
        if (encoded.length > maxRecordBytes) {
            throw new RecordTooLargeException(kind.typeName(), encoded.length, maxRecordBytes);
        }
        return encoded;
    }

    private byte[] serialize(ObjectNode root) {
        try {
            byte[] json = mapper.writeValueAsBytes(root);
            return json.length > COMPRESSION_THRESHOLD_BYTES ? compress(json) : json;
        } catch (IOException e) {
            throw new UncheckedIOException("record can't be written as JSON", e);
        }
    }

    private static byte[] compress(byte[] json) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(json.length / 4);
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(json);
        }
        return out.toByteArray();
    }

    /**
     * Decodes a record. Does not throw if the bytes are not valid.
     *
     * @param offset position of the record in the log
     * @param data bytes of the record
     * @return the decoded record, with a {@link LogRecord.Unreadable} body if the bytes can't be decoded
     */
    public LogEntry decode(LogOffset offset, byte[] data) {
        if (data.length > maxRecordBytes) {
            return unreadable(
                    offset, UNREADABLE_HEADER, data.length + " bytes are more than the limit of " + maxRecordBytes);
        }
        JsonNode root;
        RecordHeader header;
        try {
            root = mapper.readTree(isCompressed(data) ? decompress(data) : data);
            header = mapper.treeToValue(requireField(root, "header"), RecordHeader.class);
        } catch (IOException | RuntimeException e) {
            return unreadable(offset, UNREADABLE_HEADER, describe(e));
        }
        try {
            return new LogEntry(offset, header, readBody(root));
        } catch (IOException | RuntimeException e) {
            return unreadable(offset, header, describe(e));
        }
    }

    private static boolean isCompressed(byte[] data) {
        return data.length > 2 && (data[0] & 0xff) == GZIP_FIRST_BYTE && (data[1] & 0xff) == GZIP_SECOND_BYTE;
    }

    private static byte[] decompress(byte[] data) throws IOException {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(data))) {
            byte[] json = gzip.readNBytes(MAX_DECOMPRESSED_BYTES + 1);
            if (json.length > MAX_DECOMPRESSED_BYTES) {
                throw new IOException("decompressed record is larger than " + MAX_DECOMPRESSED_BYTES + " bytes");
            }
            return json;
        }
    }

    private LogRecord readBody(JsonNode root) throws IOException {
        JsonNode version = requireField(root, "version");
        if (!version.isInt() || version.intValue() != FORMAT_VERSION) {
            throw new IOException("format version " + version + " is not " + FORMAT_VERSION);
        }
        String typeName = requireField(root, "type").asText();
        Optional<RecordKind> kind = RecordKind.byTypeName(typeName);
        if (kind.isEmpty()) {
            throw new IOException("record type \"" + typeName + "\" is not known");
        }
        return mapper.treeToValue(requireField(root, "body"), kind.get().recordClass());
    }

    private static JsonNode requireField(JsonNode root, String field) throws IOException {
        JsonNode value = root.get(field);
        if (value == null || value.isNull()) {
            throw new IOException("field \"" + field + "\" is missing");
        }
        return value;
    }

    private static String describe(Exception e) {
        String text = e instanceof JsonProcessingException json ? json.getOriginalMessage() : e.getMessage();
        String full = text == null ? e.getClass().getSimpleName() : text;
        return full.length() > MAX_REASON_CHARS ? full.substring(0, MAX_REASON_CHARS) : full;
    }

    private static LogEntry unreadable(LogOffset offset, RecordHeader header, String reason) {
        return new LogEntry(offset, header, new LogRecord.Unreadable(reason));
    }
}

package org.lacewingthread.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.lacewingthread.core.id.LogOffset;

/**
 * The platform's log over HTTP, as docs/PROTOCOL.md states it.
 *
 * <p>Only an answer that says so, or a connection that never opened, proves that a record was not
 * appended; everything else after the first byte is {@link LogException.OutcomeUnknown}.
 */
public final class HttpPlatformLog implements PlatformLog {
    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;
    private static final byte[] NO_BODY = {};
    private static final Pattern STREAM_SYNTAX = Pattern.compile("[a-z0-9][a-z0-9._-]{0,63}");

    private final PlatformClient client;
    private final URI base;
    private final String path;
    private final ObjectMapper mapper = new ObjectMapper();

    /**
     * Creates an adapter.
     *
     * @param client sends the requests
     * @param base address of the log service, for example {@code http://10.0.0.9:7000}
     * @param stream name of the stream
     */
    public HttpPlatformLog(PlatformClient client, URI base, String stream) {
        if (!STREAM_SYNTAX.matcher(stream).matches()) {
            throw new IllegalArgumentException("log stream \"" + stream
                    + "\" is not valid; use lower-case letters, digits, dots, underscores and hyphens");
        }
        this.client = client;
        this.base = base;
        this.path = "/log/" + stream + "/records";
    }

    @Override
    public LogOffset append(byte[] record) throws LogException {
        if (record.length == 0) {
            throw new IllegalArgumentException("an empty record can't be appended");
        }
        BufferedHttpResponse answer = sendAppend(record);
        return switch (answer.status()) {
            case OK -> parseAppendedOffset(answer);
            case TOO_MANY_REQUESTS -> throw new LogException.RateExceeded(
                    "the log takes no more records at the moment", retryAfterMillis(answer));
            case SERVICE_UNAVAILABLE -> throw new LogException.Unavailable("the log is unavailable", null);
            default -> throw new LogException.OutcomeUnknown(
                    "the log answered an append with status " + answer.status(), null);
        };
    }

    private BufferedHttpResponse sendAppend(byte[] record) throws LogException {
        try {
            return client.call(base, Methods.POST, path, record);
        } catch (PlatformClient.NotSentException e) {
            throw new LogException.Unavailable(e.getMessage(), e);
        } catch (IOException e) {
            throw new LogException.OutcomeUnknown(e.getMessage(), e);
        }
    }

    private LogOffset parseAppendedOffset(BufferedHttpResponse answer) throws LogException {
        try {
            long offset = requireLong(mapper.readTree(answer.body()), "offset");
            if (offset < 0) {
                throw new IOException("offset " + offset + " is negative");
            }
            return new LogOffset(offset);
        } catch (IOException e) {
            throw new LogException.OutcomeUnknown("the log's answer to an append can't be read: " + e.getMessage(), e);
        }
    }

    private static long retryAfterMillis(BufferedHttpResponse answer) {
        if (answer.retryAfter() == null || !answer.retryAfter().matches("[0-9]{1,6}")) {
            return DEFAULT_RETRY_AFTER_MILLIS;
        }
        return TimeUnit.SECONDS.toMillis(Long.parseLong(answer.retryAfter()));
    }

    @Override
    public LogBatch read(LogOffset from, int maxRecords) throws LogException {
        if (from.value() < 0 || maxRecords < 1) {
            throw new IllegalArgumentException("can't read " + maxRecords + " records from offset " + from);
        }
        try {
            String query = path + "?from=" + from + "&max=" + maxRecords;
            BufferedHttpResponse answer = client.call(base, Methods.GET, query, NO_BODY);
            return switch (answer.status()) {
                case OK -> parseBatch(mapper.readTree(answer.body()), from);
                case GONE -> throw new LogException.Expired(
                        "record " + from + " is no longer kept", oldestOffset(mapper.readTree(answer.body())));
                default -> throw new IOException("the log answered a read with status " + answer.status());
            };
        } catch (IOException | IllegalArgumentException e) {
            throw new LogException.Unavailable("the log can't be read: " + e.getMessage(), e);
        }
    }

    private static LogBatch parseBatch(JsonNode root, LogOffset from) throws IOException {
        JsonNode nodes = root.path("records");
        if (!nodes.isArray()) {
            throw new IOException("field \"records\" is not a list");
        }
        List<LogBatch.RawRecord> records = new ArrayList<>();
        LogOffset least = from;
        for (JsonNode node : nodes) {
            LogOffset offset = new LogOffset(requireLong(node, "offset"));
            if (least.isAfter(offset)) {
                throw new IOException("record " + offset + " came where " + least + " or later was expected");
            }
            records.add(new LogBatch.RawRecord(offset, requireBytes(node, "data")));
            least = offset.next();
        }
        return new LogBatch(records, oldestOffset(root), new LogOffset(requireLong(root, "end")));
    }

    private static LogOffset oldestOffset(JsonNode root) throws IOException {
        return new LogOffset(requireLong(root, "oldest"));
    }

    private static byte[] requireBytes(JsonNode root, String field) throws IOException {
        byte[] value = root.path(field).binaryValue();
        if (value == null) {
            throw new IOException("field \"" + field + "\" is not text in base64");
        }
        return value;
    }

    private static long requireLong(JsonNode root, String field) throws IOException {
        JsonNode value = root == null ? null : root.get(field);
        if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new IOException("field \"" + field + "\" is " + value + ", not a whole number");
        }
        return value.longValue();
    }
}

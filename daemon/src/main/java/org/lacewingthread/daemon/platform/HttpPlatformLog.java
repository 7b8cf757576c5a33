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
 * Client of the platform's log over HTTP. docs/PROTOCOL.md specifies the protocol.
 *
 * <p>An append is known to have had no effect only if the connection could not be opened or the log responded with
 * status 429 or 503. Every other failure of an append is reported as {@link LogException.OutcomeUnknown}.
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
     * Creates a client of one log stream.
     *
     * @param client sends the HTTP requests
     * @param base address of the log service, for example {@code http://10.0.0.9:7000}
     * @param stream name of the log stream
     * @throws IllegalArgumentException if the name of the stream is not valid
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
            throw new IllegalArgumentException("the record is empty");
        }
        BufferedHttpResponse response = sendAppend(record);
        return switch (response.status()) {
            case OK -> parseAppendedOffset(response);
            case TOO_MANY_REQUESTS -> throw new LogException.RateExceeded(
                    "the log rejected the record because the append rate limit is exceeded (status 429)",
                    retryAfterMillis(response));
            case SERVICE_UNAVAILABLE -> throw new LogException.Unavailable("the log is unavailable (status 503)", null);
            default -> throw new LogException.OutcomeUnknown(
                    "the log responded to an append with status " + response.status(), null);
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

    private LogOffset parseAppendedOffset(BufferedHttpResponse response) throws LogException {
        try {
            long offset = requireLong(mapper.readTree(response.body()), "offset");
            if (offset < 0) {
                throw new IOException("offset " + offset + " is negative");
            }
            return new LogOffset(offset);
        } catch (IOException e) {
            throw new LogException.OutcomeUnknown("the log's response to an append is not valid: " + e.getMessage(), e);
        }
    }

    private static long retryAfterMillis(BufferedHttpResponse response) {
        if (response.retryAfter() == null || !response.retryAfter().matches("[0-9]{1,6}")) {
            return DEFAULT_RETRY_AFTER_MILLIS;
        }
        return TimeUnit.SECONDS.toMillis(Long.parseLong(response.retryAfter()));
    }

    @Override
    public LogBatch read(LogOffset from, int maxRecords) throws LogException {
        if (from.value() < 0 || maxRecords < 1) {
            throw new IllegalArgumentException("can't read " + maxRecords + " records from offset " + from);
        }
        try {
            String query = path + "?from=" + from + "&max=" + maxRecords;
            BufferedHttpResponse response = client.call(base, Methods.GET, query, NO_BODY);
            return switch (response.status()) {
                case OK -> parseBatch(mapper.readTree(response.body()), from);
                case GONE -> throw new LogException.Expired(
                        "record " + from + " has expired from the log", oldestOffset(mapper.readTree(response.body())));
                default -> throw new IOException("the log responded to a read with status " + response.status());
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
        LogOffset minOffset = from;
        for (JsonNode node : nodes) {
            LogOffset offset = new LogOffset(requireLong(node, "offset"));
            if (minOffset.isAfter(offset)) {
                throw new IOException(
                        "the log returned record " + offset + " where offset " + minOffset + " or later was expected");
            }
            records.add(new LogBatch.RawRecord(offset, requireBytes(node, "data")));
            minOffset = offset.next();
        }
        return new LogBatch(records, oldestOffset(root), new LogOffset(requireLong(root, "end")));
    }

    private static LogOffset oldestOffset(JsonNode root) throws IOException {
        return new LogOffset(requireLong(root, "oldest"));
    }

    private static byte[] requireBytes(JsonNode root, String field) throws IOException {
        byte[] value = root.path(field).binaryValue();
        if (value == null) {
            throw new IOException("field \"" + field + "\" is missing or not Base64");
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

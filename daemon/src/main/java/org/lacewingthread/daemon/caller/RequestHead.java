package org.lacewingthread.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.Protocols;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.routing.Classification;
import org.lacewingthread.core.traffic.AttemptNumber;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.backend.HopByHopHeaders;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.lacewingthread.daemon.http.RequestFraming;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;

/**
 * Validated and classified head of a caller's request.
 *
 * @param requestId id assigned to the request
 * @param shard shard of the request's key
 * @param keyHash hash of the request's key
 * @param requestClass class of the request
 * @param method HTTP method
 * @param path path and query as received
 * @param headers header fields to forward to the backend server
 * @param deadlineMillis monotonic time until which the caller waits for the response
 * @param idempotencyKey key with which the caller may repeat the request
 */
record RequestHead(
        String requestId,
        ShardId shard,
        long keyHash,
        RequestClass requestClass,
        String method,
        String path,
        List<HeaderField> headers,
        long deadlineMillis,
        Optional<String> idempotencyKey) {
    private static final String DEADLINE_HEADER = "Lacewingthread-Deadline-Millis";
    private static final String APPLICATION_HEADER = "Lacewingthread-Application";
    private static final String ATTEMPT_HEADER = "Lacewingthread-Attempt";
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String INTERNAL_HEADER_PREFIX = "lacewingthread-";
    private static final long MAX_DEADLINE_MILLIS = 60_000;
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 128;

    /**
     * Validates and classifies the head of a request.
     *
     * @throws RefusedException if the request is invalid, or this entry VM cannot assign it to a shard
     */
    static RequestHead read(
            HttpServerExchange exchange,
            String requestId,
            TrafficState.Snapshot snapshot,
            CallerLimits limits,
            long nowMillis)
            throws RefusedException {
        HeaderMap headers = exchange.getRequestHeaders();
        checkHeaderSize(exchange, limits);
        checkFraming(exchange);
        long deadlineMillis = nowMillis + parseDeadlineMillis(headers, limits);
        Optional<String> key = idempotencyKey(headers);
        checkAttempt(headers);
        if (!snapshot.isReady()) {
            throw new RefusedException(ResultCode.NOT_READY, "this entry VM has no current state yet");
        }
        String path = rawPathOf(exchange);
        Classification.Matched matched = classify(exchange, path, snapshot);
        int shard = snapshot.table().shardIndexOf(matched.application(), matched.keyHash());
        if (shard < 0) {
            throw new RefusedException(
                    ResultCode.NO_OWNER, "application \"" + matched.application() + "\" has no shards yet");
        }
        String query = exchange.getQueryString();
        return new RequestHead(
                requestId,
                new ShardId(matched.application(), shard),
                matched.keyHash(),
                matched.selector().requestClass(),
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                forwardedHeaders(headers),
                deadlineMillis,
                key);
    }

    /** Returns the request to route, with the given body. */
    RoutedRequest withBody(byte[] body) {
        return new RoutedRequest(
                requestId,
                shard,
                keyHash,
                requestClass,
                method,
                path,
                headers,
                body,
                deadlineMillis,
                idempotencyKey,
                0);
    }

    private static void checkHeaderSize(HttpServerExchange exchange, CallerLimits limits) throws RefusedException {
        long bytes = exchange.getRequestURI().length();
        bytes += exchange.getQueryString().length();
        for (HeaderValues values : exchange.getRequestHeaders()) {
            for (String value : values) {
                bytes += (long) values.getHeaderName().length() + value.length();
            }
        }
        if (bytes > limits.maxHeaderBytes()) {
            throw new RefusedException(
                    ResultCode.HEADERS_TOO_LARGE,
                    "the headers have " + bytes + " bytes; send at most " + limits.maxHeaderBytes());
        }
    }

    private static void checkFraming(HttpServerExchange exchange) throws RefusedException {
        HeaderValues codings = exchange.getRequestHeaders().get(Headers.TRANSFER_ENCODING);
        RequestFraming framing = RequestFraming.of(
                codings == null ? List.of() : List.copyOf(codings),
                exchange.getProtocol().equals(Protocols.HTTP_1_1));
        if (!framing.isKnown()) {
            exchange.setPersistent(false);
            throw new RefusedException(ResultCode.MALFORMED_REQUEST, framing.reason());
        }
    }

    private static long parseDeadlineMillis(HeaderMap headers, CallerLimits limits) throws RefusedException {
        String text = headers.getFirst(DEADLINE_HEADER);
        if (text == null) {
            return limits.defaultDeadlineMillis();
        }
        if (text.matches("[0-9]{1,5}")) {
            long millis = Long.parseLong(text);
            if (millis >= 1 && millis <= MAX_DEADLINE_MILLIS) {
                return millis;
            }
        }
        throw new RefusedException(
                ResultCode.BAD_DEADLINE,
                DEADLINE_HEADER + " is \"" + text + "\"; give a number of milliseconds from 1 to "
                        + MAX_DEADLINE_MILLIS);
    }

    private static Optional<String> idempotencyKey(HeaderMap headers) throws RefusedException {
        HeaderValues values = headers.get(IDEMPOTENCY_KEY_HEADER);
        if (values == null) {
            return Optional.empty();
        }
        String key = values.getFirst();
        boolean valid = values.size() == 1
                && !key.isEmpty()
                && key.length() <= MAX_IDEMPOTENCY_KEY_CHARS
                && key.chars().allMatch(c -> c > ' ' && c < 0x7f);
        if (!valid) {
            throw new RefusedException(
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    IDEMPOTENCY_KEY_HEADER + " is \"" + key + "\"; give one of 1 to " + MAX_IDEMPOTENCY_KEY_CHARS
                            + " visible ASCII characters");
        }
        return Optional.of(key);
    }

    private static void checkAttempt(HeaderMap headers) throws RefusedException {
        String text = headers.getFirst(ATTEMPT_HEADER);
        if (AttemptNumber.parse(text).isEmpty()) {
            throw new RefusedException(
                    ResultCode.BAD_IDEMPOTENCY_KEY,
                    ATTEMPT_HEADER + " is \"" + text + "\"; give 1 for a first attempt, 2 or more for a repeat");
        }
    }

    /** Returns the undecoded path, without scheme and host if the request target is in absolute form. */
    private static String rawPathOf(HttpServerExchange exchange) {
        String uri = exchange.getRequestURI();
        if (!exchange.isHostIncludedInRequestURI()) {
            return uri;
        }
        int start = uri.indexOf('/', uri.indexOf("://") + 3);
        return start < 0 ? "/" : uri.substring(start);
    }

    private static Classification.Matched classify(
            HttpServerExchange exchange, String path, TrafficState.Snapshot snapshot) throws RefusedException {
        HeaderMap headers = exchange.getRequestHeaders();
        Classification found = snapshot.classifier()
                .classify(
                        exchange.getRequestMethod().toString(),
                        path,
                        exchange.getQueryString(),
                        headers::getFirst,
                        headers.getFirst(APPLICATION_HEADER));
        if (found instanceof Classification.Refused refused) {
            throw new RefusedException(refused.code(), refused.message());
        }
        return (Classification.Matched) found;
    }

    /**
     * Returns the end-to-end fields without the router's internal fields, except the attempt number, so that a
     * caller cannot impersonate the router.
     */
    private static List<HeaderField> forwardedHeaders(HeaderMap headers) {
        List<HeaderField> fields = new ArrayList<>();
        for (HeaderField field : HopByHopHeaders.endToEnd(headers)) {
            String name = field.name().toLowerCase(Locale.ROOT);
            boolean internal = name.startsWith(INTERNAL_HEADER_PREFIX) && !name.equalsIgnoreCase(ATTEMPT_HEADER);
            if (!internal && !name.equals("content-length")) {
                fields.add(field);
            }
        }
        return fields;
    }
}

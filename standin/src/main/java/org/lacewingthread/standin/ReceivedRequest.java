package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.concurrent.TimeUnit;

/**
 * A request that a backend server has received.
 *
 * @param exchange exchange on which it is answered
 * @param receivedMicros when it was received
 * @param startByMicros latest time at which it may start, {@link Long#MAX_VALUE} for no limit
 * @param requestId request id, or null
 * @param idempotencyKey idempotency key, or null
 * @param shard shard in the form {@code application/index}, or null
 * @param token fencing token, or null
 * @param method HTTP method
 * @param path path with query string
 */
record ReceivedRequest(
        HttpServerExchange exchange,
        long receivedMicros,
        long startByMicros,
        String requestId,
        String idempotencyKey,
        String shard,
        String token,
        String method,
        String path) {
    static final HttpString REQUEST_ID_HEADER = new HttpString("Lacewingthread-Request");
    private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String SHARD_HEADER = "Lacewingthread-Shard";
    private static final String TOKEN_HEADER = "Lacewingthread-Token";
    private static final String START_BY_HEADER = "Lacewingthread-Start-By-Millis";

    /**
     * Reads the request's line and headers.
     *
     * @throws IllegalArgumentException if the token or the start-by time is not valid
     */
    static ReceivedRequest of(HttpServerExchange exchange, long receivedMicros) {
        String token = header(exchange, TOKEN_HEADER);
        String query = exchange.getQueryString();
        return new ReceivedRequest(
                exchange,
                receivedMicros,
                startByMicros(header(exchange, START_BY_HEADER), receivedMicros),
                exchange.getRequestHeaders().getFirst(REQUEST_ID_HEADER),
                header(exchange, IDEMPOTENCY_KEY_HEADER),
                header(exchange, SHARD_HEADER),
                token == null ? null : FencingTokens.requireValid(token),
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? exchange.getRequestPath() : exchange.getRequestPath() + "?" + query);
    }

    private static String header(HttpServerExchange exchange, String name) {
        return exchange.getRequestHeaders().getFirst(name);
    }

    private static long startByMicros(String millis, long receivedMicros) {
        if (millis == null) {
            return Long.MAX_VALUE;
        }
        if (!millis.matches("[0-9]{1,9}")) {
            throw new IllegalArgumentException(
                    START_BY_HEADER + " is \"" + millis + "\", not a whole number of milliseconds");
        }
        return receivedMicros + TimeUnit.MILLISECONDS.toMicros(Long.parseLong(millis));
    }

    /** Returns the journal entry of this request, started now and still running. */
    Run toRun(String server, long micros) {
        return new Run(server, requestId, idempotencyKey, shard, token, method, path, micros, Run.RUNNING);
    }
}

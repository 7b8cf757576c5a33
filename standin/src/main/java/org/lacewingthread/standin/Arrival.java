package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.concurrent.TimeUnit;

/**
 * A request that a backend server has read.
 *
 * @param exchange where it is answered
 * @param receivedMicros when it was read
 * @param startByMicros when it must have started
 * @param requestId its id, or null
 * @param idempotencyKey its idempotency key, or null
 * @param shard its shard, or null
 * @param token its fencing token, or null
 * @param method its HTTP method
 * @param path its path with query
 */
record Arrival(
        HttpServerExchange exchange,
        long receivedMicros,
        long startByMicros,
        String requestId,
        String idempotencyKey,
        String shard,
        String token,
        String method,
        String path) {
    static final HttpString REQUEST_ID = new HttpString("Lacewingthread-Request");
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final String SHARD = "Lacewingthread-Shard";
    private static final String TOKEN = "Lacewingthread-Token";
    private static final String START_BY_MILLIS = "Lacewingthread-Start-By-Millis";

    /** Reads the headers; fails if one is not valid. */
    static Arrival of(HttpServerExchange exchange, long receivedMicros) {
        String token = header(exchange, TOKEN);
        String query = exchange.getQueryString();
        return new Arrival(
                exchange,
                receivedMicros,
                startByMicros(header(exchange, START_BY_MILLIS), receivedMicros),
                exchange.getRequestHeaders().getFirst(REQUEST_ID),
                header(exchange, IDEMPOTENCY_KEY),
                header(exchange, SHARD),
                token == null ? null : FencingOrder.require(token),
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
                    START_BY_MILLIS + " is \"" + millis + "\", not a whole number of milliseconds");
        }
        return receivedMicros + TimeUnit.MILLISECONDS.toMicros(Long.parseLong(millis));
    }

    Run startedAt(String server, long micros) {
        return new Run(server, requestId, idempotencyKey, shard, token, method, path, micros, Run.RUNNING);
    }
}

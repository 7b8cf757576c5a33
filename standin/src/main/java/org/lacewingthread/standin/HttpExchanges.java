package org.lacewingthread.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;

/** Ways to answer, or not to answer, an exchange. */
final class HttpExchanges {
    static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Body of a refusal. */
    record Problem(String message) {}

    /** Takes a request's body. */
    interface BodyHandler {
        void handle(byte[] body) throws IOException;
    }

    private HttpExchanges() {}

    /** Reads the body, then runs a handler whose answer may come later; errors in the body answer 400. */
    static void readBody(HttpServerExchange exchange, BodyHandler handler) {
        exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            received.dispatch(SameThreadExecutor.INSTANCE, () -> {
                try {
                    handler.handle(body);
                } catch (IOException | IllegalArgumentException e) {
                    sendJson(received, 400, new Problem(e.getMessage()));
                }
            });
        });
    }

    /** Answers with a JSON body. */
    static void sendJson(HttpServerExchange exchange, int status, Object body) {
        send(exchange, status, toJsonBytes(body));
    }

    static byte[] toJsonBytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("answer can't be written as JSON", e);
        }
    }

    /** Answers with bytes; safe to call on any thread once the exchange was dispatched. */
    static void send(HttpServerExchange exchange, int status, byte[] body) {
        exchange.getIoThread().execute(() -> {
            if (exchange.isResponseStarted()) {
                return;
            }
            exchange.setStatusCode(status);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
        });
    }

    /** Answers that the path leads nowhere. */
    static void sendNotFound(HttpServerExchange exchange) {
        readBody(exchange, body -> sendJson(exchange, 404, new Problem("no such path: " + exchange.getRequestPath())));
    }

    /** Closes the connection without an answer. */
    static void closeConnection(HttpServerExchange exchange) {
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }
}

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

/** Reads request bodies and sends responses of HTTP exchanges. */
final class HttpExchanges {
    static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Body of an error response. */
    record Problem(String message) {}

    /** Handler of a request whose body has been read. */
    interface BodyHandler {
        void handle(byte[] body) throws IOException;
    }

    private HttpExchanges() {}

    /**
     * Reads the whole request body, then calls a handler, which may answer later from another thread. If the
     * handler throws IOException or IllegalArgumentException, the request is answered 400.
     */
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

    /** Sends a response with a JSON body; may be called from any thread once the exchange is dispatched. */
    static void sendJson(HttpServerExchange exchange, int status, Object body) {
        send(exchange, status, toJsonBytes(body));
    }

    /** Returns the JSON form of a body. */
    static byte[] toJsonBytes(Object body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the response body as JSON", e);
        }
    }

    /** Sends a JSON response unless one has started; callable from any thread once the exchange is dispatched. */
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

    /** Sends status 404 with the unknown path. */
    static void sendNotFound(HttpServerExchange exchange) {
        readBody(exchange, body -> sendJson(exchange, 404, new Problem("no such path: " + exchange.getRequestPath())));
    }

    /** Closes the connection without a response. */
    static void closeConnection(HttpServerExchange exchange) {
        exchange.getIoThread().execute(() -> IoUtils.safeClose(exchange.getConnection()));
    }
}

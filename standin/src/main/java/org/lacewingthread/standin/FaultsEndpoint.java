package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Handles {@code /.standin/faults}: PUT replaces the faults, and each call returns the current ones. */
final class FaultsEndpoint {
    private static final String PATH = "/.standin/faults";

    private FaultsEndpoint() {}

    static boolean handles(HttpServerExchange exchange) {
        return exchange.getRequestPath().equals(PATH);
    }

    static <F> void handle(HttpServerExchange exchange, Class<F> type, Consumer<F> setter, Supplier<F> getter) {
        HttpExchanges.readBody(exchange, body -> {
            if (exchange.getRequestMethod().equals(Methods.PUT)) {
                setter.accept(HttpExchanges.JSON.readValue(body, type));
            }
            HttpExchanges.sendJson(exchange, 200, getter.get());
        });
    }
}

package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/** Answers of a backend server that are not the outcome of a run. */
final class BackendRefusals {
    private static final HttpString NOT_RUN_HEADER = new HttpString("Lacewingthread-Not-Run");

    private BackendRefusals() {}

    /** Refuses a request that did not run and will not. */
    static void refuse(HttpServerExchange exchange, int status, String message) {
        exchange.getIoThread().execute(() -> {
            String requestId = exchange.getRequestHeaders().getFirst(ReceivedRequest.REQUEST_ID_HEADER);
            if (requestId != null) {
                exchange.getResponseHeaders().put(ReceivedRequest.REQUEST_ID_HEADER, requestId);
            }
            exchange.getResponseHeaders().put(NOT_RUN_HEADER, "1");
            HttpExchanges.sendJson(exchange, status, new HttpExchanges.Problem(message));
        });
    }
}

package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/** Responses to requests that a backend server did not run. */
final class BackendRefusals {
    private static final HttpString NOT_RUN_HEADER = new HttpString("Lacewingthread-Not-Run");

    private BackendRefusals() {}

    /** Answers that a request has not run and will not run; repeats its request id. */
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

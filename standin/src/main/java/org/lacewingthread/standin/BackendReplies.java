package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/** Answers of a backend server that are not the outcome of a run. */
final class BackendReplies {
    private static final HttpString NOT_RUN = new HttpString("Lacewingthread-Not-Run");

    private BackendReplies() {}

    /** Refuses a request that did not run and will not. */
    static void refuse(HttpServerExchange exchange, int status, String message) {
        exchange.getIoThread().execute(() -> {
            String requestId = exchange.getRequestHeaders().getFirst(Arrival.REQUEST_ID);
            if (requestId != null) {
                exchange.getResponseHeaders().put(Arrival.REQUEST_ID, requestId);
            }
            exchange.getResponseHeaders().put(NOT_RUN, "1");
            Replies.json(exchange, status, new Replies.Problem(message));
        });
    }
}

package org.lacewingthread.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import java.util.function.LongSupplier;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.xnio.IoUtils;

/** Processes one request of a caller, from its head to its response. Confined to the exchange's I/O thread. */
final class CallerExchange {
    private static final AttachmentKey<CallerExchange> CURRENT_EXCHANGE = AttachmentKey.create(CallerExchange.class);

    private final HttpServerExchange exchange;
    private final CallerResponse response;
    private RequestClass requestClass;
    private RequestHandler.Cancellation cancellation = () -> {};
    private boolean answered;

    CallerExchange(HttpServerExchange exchange, String requestId, CallerServer.ResultListener listener) {
        this.exchange = exchange;
        this.response = new CallerResponse(exchange, requestId, code -> {
            answered = true;
            listener.onResult(code, requestClass);
        });
        watchConnectionClose(exchange.getConnection());
    }

    /** Registers this exchange with the connection's single close listener, shared by its successive exchanges. */
    private void watchConnectionClose(ServerConnection connection) {
        boolean first = connection.getAttachment(CURRENT_EXCHANGE) == null;
        connection.putAttachment(CURRENT_EXCHANGE, this);
        if (first) {
            connection.addCloseListener(
                    closed -> closed.getAttachment(CURRENT_EXCHANGE).onConnectionClosed());
        }
    }

    /** Responds with a failure without reading the rest of the request. */
    void refuse(Failure failure) {
        if (exchange.isRequestComplete()) {
            response.onFailure(failure);
        } else {
            response.refuseAndClose(failure);
        }
    }

    /** Reads the body, then passes the request to the router. */
    void readBody(RequestHead head, CallerLimits limits, LongSupplier clockMillis, RequestHandler router) {
        requestClass = head.requestClass();
        long leftMillis = Math.max(1, head.deadlineMillis() - clockMillis.getAsLong());
        BodyReader reader = new BodyReader(exchange, limits.maxBodyBytes(), new BodyReader.Listener() {
            @Override
            public void onBody(byte[] body) {
                response.beforeFirstWrite(
                        DisconnectDetector.start(exchange, () -> IoUtils.safeClose(exchange.getConnection())));
                if (exchange.getConnection().isOpen()) {
                    cancellation = router.handle(head.withBody(body), response);
                }
            }

            @Override
            public void onRefused(ResultCode code, String detail) {
                response.refuseAndClose(new Failure(code, 0, detail));
            }
        });
        reader.start(Math.min(limits.bodyTimeoutMillis(), leftMillis));
    }

    private void onConnectionClosed() {
        exchange.getIoThread().execute(() -> {
            if (!answered) {
                cancellation.cancel();
                response.abandon();
            }
        });
    }
}

package org.lacewingthread.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;
import org.lacewingthread.core.control.AuditLine;

/**
 * Serves the operator port: {@code /live}, {@code /ready}, {@code /metrics} (Prometheus text),
 * {@code /status} and {@code /audit} (JSON), and {@code POST /leave}, which makes this VM hand over its
 * work to other VMs so that it can be stopped.
 */
public final class OperatorServer implements AutoCloseable {
    private static final String JSON = "application/json";
    private static final String TEXT = "text/plain; charset=utf-8";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Supplier<VmStatus> status;
    private final Supplier<List<AuditLine>> audit;
    private final PrometheusMeterRegistry metrics;
    private final Runnable leave;
    private final Undertow server;

    /**
     * Creates the server without opening its port.
     *
     * @param host IP address to bind
     * @param port port to bind; 0 for any free port
     * @param status supplies this VM's current state
     * @param audit supplies the newest lines of the audit trail
     * @param metrics registry that {@code /metrics} exposes
     * @param leave starts the hand-over of this VM's work; called for each {@code POST /leave}
     */
    public OperatorServer(
            String host,
            int port,
            Supplier<VmStatus> status,
            Supplier<List<AuditLine>> audit,
            PrometheusMeterRegistry metrics,
            Runnable leave) {
        this.status = status;
        this.audit = audit;
        this.metrics = metrics;
        this.leave = leave;
        this.server = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(1)
                .setWorkerThreads(1)
                .setHandler(routes())
                .build();
    }

    private RoutingHandler routes() {
        return new RoutingHandler()
                .get("/live", exchange -> send(exchange, StatusCodes.OK, TEXT, "live\n"))
                .get("/ready", this::handleReady)
                .get("/metrics", exchange -> send(exchange, StatusCodes.OK, TEXT, metrics.scrape()))
                .get("/status", exchange -> send(exchange, StatusCodes.OK, JSON, json(status.get())))
                .get("/audit", exchange -> send(exchange, StatusCodes.OK, JSON, json(audit.get())))
                .post("/leave", this::leave);
    }

    private void handleReady(HttpServerExchange exchange) {
        boolean isReady = status.get().ready();
        int code = isReady ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE;
        send(exchange, code, TEXT, isReady ? "ready\n" : "not ready\n");
    }

    private void leave(HttpServerExchange exchange) {
        leave.run();
        send(exchange, StatusCodes.ACCEPTED, TEXT, "leaving\n");
    }

    private static void send(HttpServerExchange exchange, int code, String type, String body) {
        exchange.setStatusCode(code);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
        exchange.getResponseSender().send(body);
    }

    private static String json(Object value) {
        try {
            return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(value.getClass() + " can't be written as JSON", e);
        }
    }

    /** Opens the port and serves requests until {@link #close}. */
    public void start() {
        server.start();
    }

    /** Returns the bound port; valid only after {@link #start}. */
    public int port() {
        return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @Override
    public void close() {
        server.stop();
    }
}

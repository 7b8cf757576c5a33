package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stand-in of a backend server, as docs/PROTOCOL.md states it. It keeps a journal of what it ran, so
 * that a history check can find double runs and overlapping ownership.
 *
 * <pre>{@code
 * BackendSettings settings = BackendSettings.of("maras-s1").withServiceMillis(5).withChecksTokens(true);
 * try (BackendServerStandIn server = new BackendServerStandIn(0, settings)) {
 *     server.setFaults(BackendFaults.NONE.withAnswerFault(AnswerFault.LOST, 1));
 *     ...
 *     List<Run> runs = server.runs();
 * }
 * }</pre>
 *
 * <p>Over HTTP: {@code PUT /.standin/faults} with the JSON form of {@link BackendFaults} replaces the
 * faults, {@code POST /.standin/silence} lets the other connections go silent, and
 * {@code GET /.standin/runs} and {@code GET /.standin/leases} return the journals. These work also
 * while the server is frozen.
 */
public final class BackendServerStandIn implements AutoCloseable {
    private static final String STAND_IN_PATH = "/.standin/";
    private static final String LEASE_PATH = "/.lacewingthread/lease";
    private static final String RELEASE_PATH = "/.lacewingthread/release";
    private static final String HEALTH_PATH = "/.lacewingthread/health";
    private static final String CANCEL_PATH = "/.lacewingthread/cancel/";

    private final BackendSettings settings;
    private final LongSupplier nanoClock;
    private final PausableExecutor executor = new PausableExecutor();
    private final StandInServer server;
    private final RequestRunner runner;
    private Health health;
    private long healthMicros;

    private record Health(HealthState state, double load, List<String> held) {}

    record LeaseOrder(long sequence, String token, long leaseMillis, long startByMillis, List<GrantedShards> shards) {
        LeaseOrder {
            shards = shards == null ? List.of() : List.copyOf(shards);
        }

        List<LeaseTable.ShardGrant> grants() {
            return shards.stream().flatMap(GrantedShards::expand).toList();
        }
    }

    record ReleaseOrder(long sequence, String token, List<String> shards) {
        ReleaseOrder {
            FencingTokens.requireValid(token);
            shards = shards == null ? List.of() : List.copyOf(shards);
        }
    }

    private record OrderAnswer(long sequence, boolean accepted) {}

    private record Runs(List<Run> runs) {}

    private record Leases(List<LeasePeriod> leases) {}

    /**
     * Starts one with the system's monotonic clock.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param settings what it is like
     */
    public BackendServerStandIn(int port, BackendSettings settings) throws IOException {
        this(port, settings, System::nanoTime);
    }

    /**
     * Starts one.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param settings what it is like
     * @param nanoClock tells deadlines of leases and starts, and the times in the journal
     */
    public BackendServerStandIn(int port, BackendSettings settings, LongSupplier nanoClock) throws IOException {
        this.settings = settings;
        this.nanoClock = nanoClock;
        this.server = new StandInServer(settings.server(), this::handle);
        this.runner = new RequestRunner(settings, server, executor, this::nowMicros);
        server.setMaxConnections(settings.maxConnections());
        server.listen(port);
    }

    /** Returns the base address. */
    public URI uri() {
        return server.uri();
    }

    /** Returns the settings. */
    public BackendSettings settings() {
        return settings;
    }

    /** Returns the faults; a counted one shows what is left of it. */
    public BackendFaults faults() {
        return runner.faults();
    }

    /** Replaces the faults. */
    public void setFaults(BackendFaults faults) {
        runner.setFaults(faults);
        server.setMaxConnections(faults.maxConnections() == null ? settings.maxConnections() : faults.maxConnections());
        if (faults.frozen()) {
            executor.pause();
        } else {
            executor.resume();
        }
    }

    /** Lets every connection that is open now go silent for good; new ones work. */
    public void silenceConnections() {
        server.silenceConnections(null);
    }

    /** Returns how many connections are open. */
    public int openConnections() {
        return server.openConnections();
    }

    /** Returns the journal of runs in the order of their start. */
    public List<Run> runs() {
        return runner.journal().runs();
    }

    /** Returns the journal of leases: every stretch of time during which a shard was held. */
    public List<LeasePeriod> leasePeriods() {
        return runner.leasePeriods();
    }

    /** Returns the shards under a valid lease. */
    public List<String> heldShards() {
        return runner.heldShards();
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestPath().startsWith(STAND_IN_PATH)) {
            handleControlRequest(exchange);
            return;
        }
        long receivedMicros = nowMicros();
        HttpExchanges.readBody(
                exchange,
                body -> executor.run(() -> {
                    if (!server.isSilent(exchange)) {
                        handleRequest(exchange, body, receivedMicros);
                    }
                }));
    }

    private void handleControlRequest(HttpServerExchange exchange) {
        if (FaultsEndpoint.handles(exchange)) {
            FaultsEndpoint.handle(exchange, BackendFaults.class, this::setFaults, this::faults);
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/.standin/runs" -> HttpExchanges.readBody(
                    exchange, body -> HttpExchanges.sendJson(exchange, 200, new Runs(runs())));
            case "/.standin/leases" -> HttpExchanges.readBody(
                    exchange, body -> HttpExchanges.sendJson(exchange, 200, new Leases(leasePeriods())));
            case "/.standin/silence" -> HttpExchanges.readBody(exchange, body -> {
                server.silenceConnections(exchange);
                HttpExchanges.sendJson(exchange, 200, faults());
            });
            default -> HttpExchanges.sendNotFound(exchange);
        }
    }

    private void handleRequest(HttpServerExchange exchange, byte[] body, long receivedMicros) {
        String path = exchange.getRequestPath();
        try {
            if (path.equals(LEASE_PATH) && exchange.getRequestMethod().equals(Methods.PUT)) {
                grant(exchange, HttpExchanges.JSON.readValue(body, LeaseOrder.class), receivedMicros);
            } else if (path.equals(RELEASE_PATH) && exchange.getRequestMethod().equals(Methods.POST)) {
                release(exchange, HttpExchanges.JSON.readValue(body, ReleaseOrder.class));
            } else if (path.equals(HEALTH_PATH)) {
                HttpExchanges.sendJson(exchange, 200, health());
            } else if (path.startsWith(CANCEL_PATH)) {
                runner.cancel(path.substring(CANCEL_PATH.length()));
                HttpExchanges.send(exchange, 202, new byte[0]);
            } else {
                runner.submit(ReceivedRequest.of(exchange, receivedMicros));
            }
        } catch (IOException | IllegalArgumentException e) {
            BackendRefusals.refuse(exchange, 400, e.getMessage());
        }
    }

    private void grant(HttpServerExchange exchange, LeaseOrder order, long receivedMicros) {
        if (nowMicros() - receivedMicros > TimeUnit.MILLISECONDS.toMicros(order.startByMillis())
                && !faults().ignoresStartBy()) {
            BackendRefusals.refuse(exchange, 503, "the start-by time of the order has passed");
            return;
        }
        sendOrderAnswer(exchange, order.sequence(), runner.grant(order.grants(), order.leaseMillis(), receivedMicros));
    }

    private void release(HttpServerExchange exchange, ReleaseOrder order) {
        boolean accepted =
                runner.release(order.shards(), order.token(), () -> sendOrderAnswer(exchange, order.sequence(), true));
        if (!accepted) {
            sendOrderAnswer(exchange, order.sequence(), false);
        }
    }

    private static void sendOrderAnswer(HttpServerExchange exchange, long sequence, boolean accepted) {
        HttpExchanges.sendJson(exchange, accepted ? 200 : 409, new OrderAnswer(sequence, accepted));
    }

    private synchronized Health health() {
        BackendFaults faults = faults();
        long ageMicros = nowMicros() - healthMicros;
        if (health == null || ageMicros >= TimeUnit.MILLISECONDS.toMicros(faults.healthLagMillis())) {
            double load = faults.reportedLoad() == null ? runner.load() : faults.reportedLoad();
            health = new Health(faults.state(), load, runner.heldShards());
            healthMicros = nowMicros();
        }
        return health;
    }

    private long nowMicros() {
        return TimeUnit.NANOSECONDS.toMicros(nanoClock.getAsLong());
    }

    /** Stops listening and closes all connections, as a crash would. */
    @Override
    public void close() {
        server.close();
    }
}

package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Stand-in for a backend server as specified in docs/PROTOCOL.md. It keeps a journal of its runs and
 * leases, in which {@link HistoryCheck} finds repeated runs and shards served by two servers at once.
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
 * <p>Over HTTP, {@code PUT /.standin/faults} with the JSON form of {@link BackendFaults} replaces the
 * faults, {@code POST /.standin/silence} silences all connections but the one it is called on, and
 * {@code GET /.standin/runs} and {@code GET /.standin/leases} return the journals. These calls are
 * answered even while the server is frozen.
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

    /** Order to grant or renew leases. */
    record LeaseOrder(long sequence, String token, long leaseMillis, long startByMillis, List<GrantedShards> shards) {
        LeaseOrder {
            shards = shards == null ? List.of() : List.copyOf(shards);
        }

        List<LeaseTable.ShardGrant> grants() {
            return shards.stream().flatMap(GrantedShards::expand).toList();
        }
    }

    /** Order to give up leases. */
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
     * Starts a server with the system's monotonic clock.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param settings name, capacity and checks of the server
     */
    public BackendServerStandIn(int port, BackendSettings settings) throws IOException {
        this(port, settings, System::nanoTime);
    }

    /**
     * Starts a server.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param settings name, capacity and checks of the server
     * @param nanoClock clock for lease expiry, start-by times and journal times, in nanoseconds
     */
    public BackendServerStandIn(int port, BackendSettings settings, LongSupplier nanoClock) throws IOException {
        this.settings = settings;
        this.nanoClock = nanoClock;
        this.server = new StandInServer(settings.server(), this::handle);
        this.runner = new RequestRunner(settings, server, executor, this::nowMicros);
        server.setMaxConnections(settings.maxConnections());
        server.listen(port);
    }

    /** Returns the base URI. */
    public URI uri() {
        return server.uri();
    }

    /** Returns the settings with which the server was started. */
    public BackendSettings settings() {
        return settings;
    }

    /** Returns the current faults; a positive {@code answerFaultCount} counts the answers still to be affected. */
    public BackendFaults faults() {
        return runner.faults();
    }

    /** Replaces all faults; with {@code frozen} no longer set, runs the work that was deferred meanwhile. */
    public void setFaults(BackendFaults faults) {
        runner.setFaults(faults);
        server.setMaxConnections(faults.maxConnections() == null ? settings.maxConnections() : faults.maxConnections());
        if (faults.frozen()) {
            executor.pause();
        } else {
            executor.resume();
        }
    }

    /**
     * Stops handling and answering requests on all connections that are open now, without closing them,
     * as if their packets were lost. New connections are not affected.
     */
    public void silenceConnections() {
        server.silenceConnections(null);
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return server.openConnections();
    }

    /** Returns the runs in the journal in the order of their start. */
    public List<Run> runs() {
        return runner.journal().runs();
    }

    /** Returns every period during which the server held a lease on a shard, current leases included. */
    public List<LeasePeriod> leasePeriods() {
        return runner.leasePeriods();
    }

    /** Returns the shards on which the server holds a valid lease, sorted. */
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

    /** Handles a request of the test that controls the stand-in; not subject to faults. */
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

    /** Returns the health, recomputed only once the last answer is as old as the configured lag. */
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

    /** Stops listening and closes all connections immediately, as when the process crashes. */
    @Override
    public void close() {
        server.close();
    }
}

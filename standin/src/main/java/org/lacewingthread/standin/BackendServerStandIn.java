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
    private final Freezer freezer = new Freezer();
    private final StandInServer server;
    private final RequestRunner runner;
    private Health health;
    private long healthMicros;

    private record Health(HealthState state, double load, List<String> held) {}

    record LeaseOrder(long sequence, String token, long leaseMillis, long startByMillis, List<GrantedShards> shards) {
        LeaseOrder {
            shards = shards == null ? List.of() : List.copyOf(shards);
        }

        List<LeaseBook.Granted> granted() {
            return shards.stream().flatMap(GrantedShards::each).toList();
        }
    }

    record ReleaseOrder(long sequence, String token, List<String> shards) {
        ReleaseOrder {
            FencingOrder.require(token);
            shards = shards == null ? List.of() : List.copyOf(shards);
        }
    }

    private record OrderAnswer(long sequence, boolean accepted) {}

    private record Runs(List<Run> runs) {}

    private record Leases(List<Holding> leases) {}

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
        this.runner = new RequestRunner(settings, server, freezer, this::nowMicros);
        server.limitConnections(settings.maxConnections());
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
        server.limitConnections(faults.maxConnections() == null ? settings.maxConnections() : faults.maxConnections());
        if (faults.frozen()) {
            freezer.freeze();
        } else {
            freezer.thaw();
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
    public List<Holding> holdings() {
        return runner.holdings();
    }

    /** Returns the shards under a valid lease. */
    public List<String> heldShards() {
        return runner.heldShards();
    }

    private void handle(HttpServerExchange exchange) {
        if (exchange.getRequestPath().startsWith(STAND_IN_PATH)) {
            handleStandInCall(exchange);
            return;
        }
        long receivedMicros = nowMicros();
        Replies.withBody(
                exchange,
                body -> freezer.run(() -> {
                    if (!server.isSilent(exchange)) {
                        handleCall(exchange, body, receivedMicros);
                    }
                }));
    }

    private void handleStandInCall(HttpServerExchange exchange) {
        if (FaultsEndpoint.handles(exchange)) {
            FaultsEndpoint.handle(exchange, BackendFaults.class, this::setFaults, this::faults);
            return;
        }
        switch (exchange.getRequestPath()) {
            case "/.standin/runs" -> Replies.withBody(exchange, body -> Replies.json(exchange, 200, new Runs(runs())));
            case "/.standin/leases" -> Replies.withBody(
                    exchange, body -> Replies.json(exchange, 200, new Leases(holdings())));
            case "/.standin/silence" -> Replies.withBody(exchange, body -> {
                server.silenceConnections(exchange);
                Replies.json(exchange, 200, faults());
            });
            default -> Replies.notFound(exchange);
        }
    }

    private void handleCall(HttpServerExchange exchange, byte[] body, long receivedMicros) {
        String path = exchange.getRequestPath();
        try {
            if (path.equals(LEASE_PATH) && exchange.getRequestMethod().equals(Methods.PUT)) {
                grant(exchange, Replies.JSON.readValue(body, LeaseOrder.class), receivedMicros);
            } else if (path.equals(RELEASE_PATH) && exchange.getRequestMethod().equals(Methods.POST)) {
                release(exchange, Replies.JSON.readValue(body, ReleaseOrder.class));
            } else if (path.equals(HEALTH_PATH)) {
                Replies.json(exchange, 200, health());
            } else if (path.startsWith(CANCEL_PATH)) {
                runner.cancel(path.substring(CANCEL_PATH.length()));
                Replies.send(exchange, 202, new byte[0]);
            } else {
                runner.submit(Arrival.of(exchange, receivedMicros));
            }
        } catch (IOException | IllegalArgumentException e) {
            BackendReplies.refuse(exchange, 400, e.getMessage());
        }
    }

    private void grant(HttpServerExchange exchange, LeaseOrder order, long receivedMicros) {
        if (nowMicros() - receivedMicros > TimeUnit.MILLISECONDS.toMicros(order.startByMillis())
                && !faults().ignoresStartBy()) {
            BackendReplies.refuse(exchange, 503, "the start-by time of the order has passed");
            return;
        }
        answerOrder(exchange, order.sequence(), runner.grant(order.granted(), order.leaseMillis(), receivedMicros));
    }

    private void release(HttpServerExchange exchange, ReleaseOrder order) {
        boolean accepted =
                runner.release(order.shards(), order.token(), () -> answerOrder(exchange, order.sequence(), true));
        if (!accepted) {
            answerOrder(exchange, order.sequence(), false);
        }
    }

    private static void answerOrder(HttpServerExchange exchange, long sequence, boolean accepted) {
        Replies.json(exchange, accepted ? 200 : 409, new OrderAnswer(sequence, accepted));
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

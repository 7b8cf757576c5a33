package org.lacewingthread.daemon.router;

import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.lacewingthread.core.dispatch.PermitRequest;
import org.lacewingthread.core.dispatch.RequestDispatcher;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.CallerLimits;
import org.lacewingthread.core.serving.Repeatability;
import org.lacewingthread.core.serving.Route;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.core.serving.WeightedService;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ServiceRetryBudget;
import org.lacewingthread.daemon.events.EventLog;
import org.lacewingthread.daemon.intake.CallerRequest;
import org.lacewingthread.daemon.intake.CallerResponder;

/**
 * A request engine alone, with backend servers over real sockets and a clock that the test moves. Routes {@code orders}
 * (with keys) and {@code desk} (without) must run at most once; {@code reads} is {@code desk}'s repeatable one.
 */
abstract class EngineFixture {
    static final ServiceId ORDERS = new ServiceId("orders");
    static final ServiceId DESK = new ServiceId("desk");
    static final DataCentreId HERE = new DataCentreId("maras");
    private static final HeaderNames NAMES = new HeaderNames(
            "Attempt",
            "Deadline",
            "Seal",
            "Expected",
            "Instance",
            "Load",
            List.of("Limit"),
            "Not-Executed",
            "Retry-After",
            "Leaving",
            "Cold",
            "Key");

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    final EventLoop eventLoop = group.next();
    final AtomicLong nowMillis = new AtomicLong(10_000);
    final List<Integer> answeredStatuses = new CopyOnWriteArrayList<>();
    final List<Optional<String>> answeredRetryAfters = new CopyOnWriteArrayList<>();
    final List<Optional<String>> answeredSeals = new CopyOnWriteArrayList<>();
    final RecordingCrashRecordLink crashRecordLink = new RecordingCrashRecordLink();
    private final List<HttpServer> servers = new ArrayList<>();
    /** Carries relayed requests; tests that relay replace it. */
    RelaySender.Transport relayTransport = (peer, request, sink) -> {
        throw new AssertionError("no request is relayed here");
    };

    final RequestDispatcher dispatcher = new RequestDispatcher(HERE, new SplittableRandom(1));
    RequestEngine engine;
    /** Whether callers have left when the engine asks; their connections tell it nothing by themselves. */
    volatile boolean callerLeft;
    /** How much earlier than they are read requests can have arrived. */
    volatile long readLateMillis;
    /** The request that was sent last; null before that. */
    volatile CallerRequest lastRequest;

    @BeforeEach
    void startEngine() {
        engine = new RequestEngine(
                NAMES,
                new EventLog("vm-1", new ByteArrayOutputStream(), () -> 0),
                new RouterMetrics(),
                dispatcher,
                eventLoop,
                new ServiceRetryBudget(0.2, 5, 10_000),
                nowMillis::get,
                (service, key) -> {},
                new LimitLink() {
                    @Override
                    public void askPermit(PermitRequest request) {}

                    @Override
                    public void onLimitEnded(ServerStart server) {}

                    @Override
                    public void onServerLeaving(ServerStart server) {}
                },
                crashRecordLink,
                new RelaySender.Access(
                        HERE,
                        (peer, request, sink) -> relayTransport.send(peer, request, sink),
                        new SplittableRandom(2)));
        engine.onConfiguration(new ServingConfiguration(
                1,
                List.of(
                        route("orders", ORDERS, Repeatability.AT_MOST_ONCE),
                        route("desk", DESK, Repeatability.AT_MOST_ONCE),
                        route("reads", DESK, Repeatability.REPEATABLE)),
                Map.of(
                        ORDERS,
                        new ServiceSpec(ORDERS, "/health", 50, true),
                        DESK,
                        new ServiceSpec(DESK, "/h", 50, false)),
                CallerLimits.DEFAULT));
    }

    private static Route route(String name, ServiceId service, Repeatability repeatability) {
        return new Route(
                name,
                "here",
                "/" + name + "/",
                repeatability,
                5_000,
                2_000,
                0,
                2,
                List.of(new WeightedService(service, 1)));
    }

    @AfterEach
    void stopEngine() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        servers.forEach(server -> server.stop(0));
    }

    HttpServer startServer(HttpHandler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", handler);
        server.start();
        servers.add(server);
        return server;
    }

    static KnownServer server(
            String id, ServiceId service, HttpServer server, boolean draining, Optional<Long> acceptsUntilMillis) {
        InetSocketAddress address = server.getAddress();
        ServerEntry entry = new ServerEntry(
                new ServerStart(new ServerId(id), 1),
                service,
                address.getAddress().getHostAddress(),
                address.getPort(),
                HERE,
                2,
                draining,
                false);
        return new KnownServer(entry, acceptsUntilMillis, Optional.empty());
    }

    static KnownServer server(String id, ServiceId service, HttpServer server) {
        return server(id, service, server, false, Optional.empty());
    }

    /** Sends a caller's request; runs on the event loop. */
    void request(String route, String key) {
        HttpHeaders headers = new DefaultHttpHeaders().add("Host", "here").add("Attempt", "a-1");
        if (key != null) {
            headers.add("Key", key);
        }
        CallerRequest request = new CallerRequest(
                "POST",
                "/" + route + "/1",
                headers,
                Unpooled.EMPTY_BUFFER,
                nowMillis.get() - readLateMillis,
                nowMillis.get(),
                new RecordingResponder());
        lastRequest = request;
        engine.onRequest(request);
    }

    /** Records responses, and tells whether the caller has left as the test says. */
    private final class RecordingResponder implements CallerResponder {
        @Override
        public boolean hasCallerLeft() {
            return callerLeft;
        }

        @Override
        public void respond(ResponseStatus status, HttpHeaders responseHeaders, ByteBuf body) {
            answeredRetryAfters.add(Optional.ofNullable(responseHeaders.get("Retry-After")));
            answeredSeals.add(Optional.ofNullable(responseHeaders.get("Seal")));
            answeredStatuses.add(status.httpStatus());
        }
    }
}

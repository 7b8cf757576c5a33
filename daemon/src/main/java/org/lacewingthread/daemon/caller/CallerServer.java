package org.lacewingthread.daemon.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.SameThreadExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.dispatch.TrafficMetrics;
import org.lacewingthread.daemon.dispatch.TrafficState;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.RequestHandler;
import org.lacewingthread.daemon.settings.EntrySettings.CallerLimits;
import org.xnio.XnioWorker;

/**
 * HTTP server for callers.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(address, worker, state, router, limits, clock, metrics, idPrefix);
 * server.start();
 * server.stop();
 * }</pre>
 *
 * <p>A request's body is read whole, up to a limit, before the request is passed on: many callers
 * send from slow phones, and a half-sent request must not hold one of a backend server's few slots.
 * Answers are streamed through bounded buffers; an answer that fits into the buffers frees the
 * server's slot however slowly its caller reads.
 *
 * <p>What the HTTP library can't parse it answers itself, with status 400 and an empty body, and
 * closes the connection; such a request never gets an id.
 */
public final class CallerServer {
    private static final int PARSER_LIMIT_FACTOR = 2;
    private static final int MAX_HEADER_FIELDS = 200;
    private static final int IDLE_TIMEOUT_MILLIS = 75_000;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final TrafficState state;
    private final RequestHandler router;
    private final CallerLimits limits;
    private final LongSupplier clockMillis;
    private final TrafficMetrics metrics;
    private final String idPrefix;
    private final Undertow undertow;
    private final AtomicLong nextId = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates a server.
     *
     * @param address where to listen
     * @param worker its I/O threads
     * @param state tells applications and shards
     * @param router takes the requests
     * @param limits limits on callers
     * @param clockMillis monotonic clock
     * @param metrics counts answers
     * @param idPrefix prefix of request ids, unique to this start of the process
     */
    public CallerServer(
            InetSocketAddress address,
            XnioWorker worker,
            TrafficState state,
            RequestHandler router,
            CallerLimits limits,
            LongSupplier clockMillis,
            TrafficMetrics metrics,
            String idPrefix) {
        this.state = state;
        this.router = router;
        this.limits = limits;
        this.clockMillis = clockMillis;
        this.metrics = metrics;
        this.idPrefix = idPrefix;
        HttpHandler handler = new HttpContinueReadHandler(
                exchange -> exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handleRequest(exchange)));
        this.undertow = Undertow.builder()
                .setWorker(worker)
                .addHttpListener(address.getPort(), address.getAddress().getHostAddress(), handler)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, limits.maxHeaderBytes() * PARSER_LIMIT_FACTOR)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADER_FIELDS)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) limits.maxBodyBytes() * PARSER_LIMIT_FACTOR)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.bodyTimeoutMillis())
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.DECODE_URL, false)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .build();
    }

    /** Begins to listen. */
    public void start() {
        undertow.start();
    }

    /** Returns the port that it listens on. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    /** Returns how many requests are in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Stops listening and closes the callers' connections. */
    public void stop() {
        undertow.stop();
    }

    private void handleRequest(HttpServerExchange exchange) {
        long startedNanos = System.nanoTime();
        String requestId = idPrefix + "-" + Long.toString(nextId.getAndIncrement(), Character.MAX_RADIX);
        CallerExchange caller = new CallerExchange(exchange, requestId, (code, requestClass) -> {
            inFlight.decrementAndGet();
            metrics.requestAnswered(code, requestClass, System.nanoTime() - startedNanos);
        });
        if (inFlight.incrementAndGet() > limits.maxRequestsInFlight()) {
            // Proof of "not run" here and below: the router has not been given the request.
            caller.refuse(
                    new Failure(ResultCode.OVERLOADED, RETRY_AFTER_MILLIS, "this entry VM holds too many requests"));
            return;
        }
        try {
            RequestHead head = RequestHead.read(exchange, requestId, state.snapshot(), limits, clockMillis.getAsLong());
            caller.readBody(head, limits, clockMillis, router);
        } catch (RefusedException e) {
            caller.refuse(new Failure(e.code(), retryAfterMillis(e.code()), e.getMessage()));
        }
    }

    private static long retryAfterMillis(ResultCode code) {
        return code == ResultCode.NOT_READY || code == ResultCode.NO_OWNER ? RETRY_AFTER_MILLIS : 0;
    }

    /** Takes the result of a request with its class, or null if it was refused before it had one. */
    @FunctionalInterface
    interface ResultListener {
        void onResult(ResultCode code, RequestClass requestClass);
    }
}

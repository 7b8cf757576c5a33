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
 * HTTP server that receives the requests of callers.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(address, worker, state, router, limits, clock, metrics, idPrefix);
 * server.start();
 * server.stop();
 * }</pre>
 *
 * <p>The body of a request is read completely, up to a size limit, before the request is passed to the
 * router: many callers send from slow phones, and a partly received request must not hold one of the few
 * slots of a backend server. Responses are streamed through bounded buffers. A response that fits into the
 * buffers frees the slot of the backend server even if the caller reads slowly.
 *
 * <p>The HTTP library itself responds to a request that it cannot parse, with status 400 and an empty body,
 * and closes the connection. Such a request is never assigned an id.
 */
public final class CallerServer {
    // Limits of the HTTP library are higher, so that this server refuses oversized requests first, with a result code.
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
     * @param address address to listen on
     * @param worker provides the I/O threads
     * @param state provides the current classifier and table of shards
     * @param router handles the accepted requests
     * @param limits limits on requests of callers
     * @param clockMillis monotonic clock in milliseconds
     * @param metrics records results and durations
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

    /** Starts listening. */
    public void start() {
        undertow.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        InetSocketAddress address =
                (InetSocketAddress) undertow.getListenerInfo().get(0).getAddress();
        return address.getPort();
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.get();
    }

    /** Stops listening and closes the connections of callers. */
    public void stop() {
        undertow.stop();
    }

    private void handleRequest(HttpServerExchange exchange) {
        long startedNanos = System.nanoTime();
        String requestId = idPrefix + "-" + Long.toString(nextId.getAndIncrement(), Character.MAX_RADIX);
        CallerExchange callerExchange = new CallerExchange(exchange, requestId, (code, requestClass) -> {
            inFlight.decrementAndGet();
            metrics.recordRequest(code, requestClass, System.nanoTime() - startedNanos);
        });
        if (inFlight.incrementAndGet() > limits.maxRequestsInFlight()) {
            // Provably not run, here and below: the request has not been passed to the router.
            callerExchange.refuse(
                    new Failure(ResultCode.OVERLOADED, RETRY_AFTER_MILLIS, "this entry VM holds too many requests"));
            return;
        }
        try {
            RequestHead head = RequestHead.read(exchange, requestId, state.snapshot(), limits, clockMillis.getAsLong());
            callerExchange.readBody(head, limits, clockMillis, router);
        } catch (RefusedException e) {
            callerExchange.refuse(new Failure(e.code(), retryAfterMillis(e.code()), e.getMessage()));
        }
    }

    private static long retryAfterMillis(ResultCode code) {
        return code == ResultCode.NOT_READY || code == ResultCode.NO_OWNER ? RETRY_AFTER_MILLIS : 0;
    }

    /** Receives the result of a request and its class, or null if it was refused before it was classified. */
    @FunctionalInterface
    interface ResultListener {
        void onResult(ResultCode code, RequestClass requestClass);
    }
}

package org.lacewingthread.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.URI;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for the platform's log service as specified in docs/PROTOCOL.md.
 *
 * <pre>{@code
 * try (LogServiceStandIn log = new LogServiceStandIn(0)) {
 *     connectTo(log.uri());
 *     log.setFaults(LogFaults.NONE.withUnavailable(true));
 * }
 * }</pre>
 *
 * <p>{@link #setFaults}, or {@code PUT /.standin/faults} with the JSON form of {@link LogFaults},
 * replaces all faults.
 */
public final class LogServiceStandIn implements AutoCloseable {
    private static final Pattern RECORDS_PATH = Pattern.compile("/log/([^/]+)/records");
    private static final int MAX_BATCH_RECORDS = 1_000;
    private static final long NO_OFFSET = -1;
    private static final long RATE_WINDOW_MILLIS = 1_000;

    private final LongSupplier nanoClock;
    private final Map<String, LogStream> streams = new HashMap<>();
    private final StandInServer server;
    private LogFaults faults = LogFaults.NONE;
    private long windowStartMillis;
    private int appendsInWindow;

    private enum AppendOutcome {
        APPENDED,
        LOST_BEFORE,
        LOST_AFTER,
        RATE_EXCEEDED
    }

    private record AppendResult(AppendOutcome outcome, long offset) {}

    private record Appended(long offset) {}

    private record Expired(long oldest, long end) {}

    /**
     * Starts a log service with the system's monotonic clock.
     *
     * @param port port on the loopback address, or 0 for any free one
     */
    public LogServiceStandIn(int port) throws IOException {
        this(port, System::nanoTime);
    }

    /**
     * Starts a log service.
     *
     * @param port port on the loopback address, or 0 for any free one
     * @param nanoClock clock for the age of records and the append rate, in nanoseconds
     */
    public LogServiceStandIn(int port, LongSupplier nanoClock) throws IOException {
        this.nanoClock = nanoClock;
        this.windowStartMillis = nowMillis();
        this.server = new StandInServer("log stand-in", this::handle);
        server.listen(port);
    }

    /** Returns the base URI. */
    public URI uri() {
        return server.uri();
    }

    /** Returns the current faults; counts of lost answers are those still to come. */
    public synchronized LogFaults faults() {
        return faults;
    }

    /** Replaces all faults. */
    public synchronized void setFaults(LogFaults value) {
        faults = value;
    }

    /** Returns the offset of the newest record ever appended to a stream, -1 if there was none. */
    public synchronized long endOffset(String stream) {
        return stream(stream).newestOffset();
    }

    private void handle(HttpServerExchange exchange) {
        if (FaultsEndpoint.handles(exchange)) {
            FaultsEndpoint.handle(exchange, LogFaults.class, this::setFaults, this::faults);
            return;
        }
        Matcher path = RECORDS_PATH.matcher(exchange.getRequestPath());
        if (!path.matches()) {
            HttpExchanges.sendNotFound(exchange);
            return;
        }
        HttpExchanges.readBody(exchange, body -> handleRecordsRequest(exchange, path.group(1), body));
    }

    private void handleRecordsRequest(HttpServerExchange exchange, String stream, byte[] body) {
        LogFaults current = faults();
        if (current.unanswered()) {
            return;
        }
        if (current.unavailable()) {
            server.schedule(
                    current.latencyMillis(),
                    () -> HttpExchanges.sendJson(exchange, 503, new HttpExchanges.Problem("the log is unavailable")));
            return;
        }
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            server.schedule(current.appendDelayMillis(), () -> append(exchange, stream, body, current.latencyMillis()));
        } else {
            read(exchange, stream, current.latencyMillis());
        }
    }

    private void append(HttpServerExchange exchange, String stream, byte[] body, long latencyMillis) {
        AppendResult result = tryAppend(stream, body);
        server.schedule(latencyMillis, () -> {
            switch (result.outcome()) {
                case APPENDED -> HttpExchanges.sendJson(exchange, 200, new Appended(result.offset()));
                case RATE_EXCEEDED -> sendTooManyAppends(exchange);
                default -> HttpExchanges.closeConnection(exchange);
            }
        });
    }

    private static void sendTooManyAppends(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.RETRY_AFTER, 1);
        HttpExchanges.sendJson(exchange, 429, new HttpExchanges.Problem("too many appends"));
    }

    private synchronized AppendResult tryAppend(String stream, byte[] body) {
        if (faults.loseAnswersBeforeAppend() > 0) {
            faults = faults.withLostAnswers(faults.loseAnswersAfterAppend(), faults.loseAnswersBeforeAppend() - 1);
            return new AppendResult(AppendOutcome.LOST_BEFORE, NO_OFFSET);
        }
        if (isRateExceeded()) {
            return new AppendResult(AppendOutcome.RATE_EXCEEDED, NO_OFFSET);
        }
        long offset = stream(stream).append(body, nowMillis());
        if (faults.loseAnswersAfterAppend() > 0) {
            faults = faults.withLostAnswers(faults.loseAnswersAfterAppend() - 1, faults.loseAnswersBeforeAppend());
            return new AppendResult(AppendOutcome.LOST_AFTER, offset);
        }
        return new AppendResult(AppendOutcome.APPENDED, offset);
    }

    /** Returns whether one more append exceeds the rate limit; counts it if it does not. */
    private boolean isRateExceeded() {
        if (nowMillis() - windowStartMillis >= RATE_WINDOW_MILLIS) {
            windowStartMillis = nowMillis();
            appendsInWindow = 0;
        }
        if (faults.appendsPerSecond() > 0 && appendsInWindow >= faults.appendsPerSecond()) {
            return true;
        }
        appendsInWindow++;
        return false;
    }

    private void read(HttpServerExchange exchange, String stream, long latencyMillis) {
        long from = queryNumber(exchange, "from", 0);
        int max = (int) Math.min(MAX_BATCH_RECORDS, Math.max(1, queryNumber(exchange, "max", MAX_BATCH_RECORDS)));
        Object answer = readFrom(stream, from, max);
        int status = answer instanceof Expired ? 410 : 200;
        server.schedule(latencyMillis, () -> HttpExchanges.sendJson(exchange, status, answer));
    }

    private synchronized Object readFrom(String name, long from, int max) {
        LogStream stream = stream(name);
        return from < stream.oldestOffset()
                ? new Expired(stream.oldestOffset(), stream.newestOffset())
                : stream.read(from, max);
    }

    private static long queryNumber(HttpServerExchange exchange, String name, long defaultValue) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        if (values == null) {
            return defaultValue;
        }
        if (!values.getFirst().matches("[0-9]{1,18}")) {
            throw new IllegalArgumentException(
                    "query parameter \"" + name + "\" is \"" + values.getFirst() + "\", not a whole number");
        }
        return Long.parseLong(values.getFirst());
    }

    private LogStream stream(String name) {
        LogStream stream = streams.computeIfAbsent(name, key -> new LogStream());
        stream.expire(faults.retainRecords(), faults.retainMillis(), nowMillis());
        return stream;
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong());
    }

    /** Stops listening and closes all connections; the records are lost. */
    @Override
    public void close() {
        server.close();
    }
}

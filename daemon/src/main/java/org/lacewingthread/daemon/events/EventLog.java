package org.lacewingthread.daemon.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Writes events as JSON lines from a thread of its own. Callers never wait: when the buffer is full,
 * lines are dropped and counted, and the count is written as an event as soon as there is room.
 *
 * <pre>{@code
 * log.write("configuration.applied", "version", 12, "routes", 40);
 * }</pre>
 */
public final class EventLog implements AutoCloseable {
    private static final int MAX_QUEUED_LINES = 2_048;
    private static final long POLL_MILLIS = 500;
    private static final long JOIN_TIMEOUT_MILLIS = 300;
    private static final JsonFactory JSON = new JsonFactory();

    private final String vm;
    private final OutputStream out;
    private final LongSupplier wallClockMillis;
    private final ArrayBlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writerThread = new Thread(this::writeQueuedLines, "event-log");
    private volatile boolean closed;

    /**
     * Starts the log.
     *
     * @param vm named in each line
     * @param out receives the lines
     * @param wallClockMillis time of day for each line
     */
    public EventLog(String vm, OutputStream out, LongSupplier wallClockMillis) {
        this.vm = vm;
        this.out = out;
        this.wallClockMillis = wallClockMillis;
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /**
     * Writes one event.
     *
     * @param event what happened, in dotted lower case
     * @param namesAndValues field names, each followed by its value; null values are left out
     */
    public void write(String event, Object... namesAndValues) {
        if (!queuedLines.offer(render(event, namesAndValues))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Writes one event about a failure, with the failure and the line of code that threw it.
     *
     * @param event what failed, in dotted lower case
     * @param cause the failure
     * @param namesAndValues further fields, as in {@link #write}
     */
    public void writeFailure(String event, Throwable cause, Object... namesAndValues) {
        StackTraceElement[] trace = cause.getStackTrace();
        Object[] fields = Arrays.copyOf(namesAndValues, namesAndValues.length + 4);
        fields[namesAndValues.length] = "reason";
        fields[namesAndValues.length + 1] = cause;
        fields[namesAndValues.length + 2] = "at";
        fields[namesAndValues.length + 3] = trace.length == 0 ? null : trace[0];
        write(event, fields);
    }

    /** Returns how many lines were dropped and not yet reported. */
    public long droppedCount() {
        return dropped.get();
    }

    private String render(String event, Object... namesAndValues) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at_unix_ms", wallClockMillis.getAsLong());
            json.writeStringField("vm", vm);
            json.writeStringField("event", event);
            for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
                writeField(json, String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
            }
            json.writeEndObject();
        } catch (IOException e) {
            return "{\"event\":\"log.failed\",\"reason\":\"an event can't be rendered\"}\n";
        }
        return text.append('\n').toString();
    }

    private static void writeField(JsonGenerator json, String name, Object value) throws IOException {
        if (value == null) {
            return;
        }
        if (value instanceof Integer || value instanceof Long) {
            json.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Number number) {
            json.writeNumberField(name, number.doubleValue());
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(name, flag);
        } else {
            json.writeStringField(name, value.toString());
        }
    }

    private void writeQueuedLines() {
        while (!closed || !queuedLines.isEmpty()) {
            try {
                String line = queuedLines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                if (line != null) {
                    out.write(line.getBytes(StandardCharsets.UTF_8));
                }
                long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    out.write(render("log.dropped", "lines", lost).getBytes(StandardCharsets.UTF_8));
                }
                if (queuedLines.isEmpty()) {
                    out.flush();
                }
            } catch (IOException e) {
                dropped.incrementAndGet();
            } catch (InterruptedException e) {
                closed = true;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            writerThread.join(JOIN_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

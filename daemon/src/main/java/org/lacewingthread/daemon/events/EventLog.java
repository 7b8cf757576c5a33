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
 * Writes events as JSON lines on a background thread. {@link #write} never blocks: when the queue is full, the line
 * is dropped and counted, and the writer thread reports the count as an event of its own.
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
     * Creates a log and starts its writer thread.
     *
     * @param vm id of this VM, written in each line
     * @param out output for the lines, encoded as UTF-8
     * @param wallClockMillis Unix time in milliseconds, written in each line
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
     * @param event event name in dotted lower case
     * @param namesAndValues alternating field names and values; a field whose value is null is omitted
     */
    public void write(String event, Object... namesAndValues) {
        if (!queuedLines.offer(render(event, namesAndValues))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Writes one event with the exception and the top frame of its stack trace.
     *
     * @param event event name in dotted lower case
     * @param cause exception to describe
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

    /** Returns the number of dropped lines that were not yet reported in the log. */
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
            return "{\"event\":\"log.failed\",\"reason\":\"an event could not be serialized\"}\n";
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
                long droppedCount = dropped.getAndSet(0);
                if (droppedCount > 0) {
                    out.write(render("log.dropped", "lines", droppedCount).getBytes(StandardCharsets.UTF_8));
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

    /** Stops the writer thread after the queued lines; waits at most {@link #JOIN_TIMEOUT_MILLIS} ms for it. */
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

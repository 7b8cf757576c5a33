package org.lacewingthread.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.Failure;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.ResponseSink;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the response to a caller. May be called on any thread; writes on the exchange's I/O thread. If the
 * source of the response fails after its first byte was written, the connection is closed, so that the
 * caller does not take the truncated response for a complete one.
 */
final class CallerResponse implements ResponseSink {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final HttpString RESULT_HEADER = new HttpString("Lacewingthread-Result");
    private static final HttpString KNOWLEDGE_HEADER = new HttpString("Lacewingthread-Knowledge");
    private static final HttpString REQUEST_ID_HEADER = new HttpString("Lacewingthread-Request");
    private static final String INTERNAL_HEADER_PREFIX = "lacewingthread-";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long LINGER_MILLIS = 1_000;

    private final HttpServerExchange exchange;
    private final String requestId;
    private final Consumer<ResultCode> onFinished;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private Runnable beforeFirstWrite = () -> {};
    private StreamSinkChannel channel;
    private ResultCode result = ResultCode.DONE;
    private boolean ended;
    private boolean finished;
    private volatile boolean abandoned;

    private record Chunk(ByteBuffer bytes, Runnable consumed) {}

    /**
     * Creates the response of an exchange.
     *
     * @param onFinished called once, with the result, when the response was written or aborted
     */
    CallerResponse(HttpServerExchange exchange, String requestId, Consumer<ResultCode> onFinished) {
        this.exchange = exchange;
        this.requestId = requestId;
        this.onFinished = onFinished;
    }

    /**
     * Sets the action to run before the first write. From then on, failed writes show that the caller
     * disconnected.
     */
    void beforeFirstWrite(Runnable action) {
        beforeFirstWrite = action;
    }

    @Override
    public boolean isAbandoned() {
        return abandoned;
    }

    @Override
    public void onHead(ResponseStatus status, List<HeaderField> headers) {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(status.httpStatus());
            HeaderMap target = exchange.getResponseHeaders();
            for (HeaderField field : headers) {
                if (!field.name().toLowerCase(Locale.ROOT).startsWith(INTERNAL_HEADER_PREFIX)) {
                    target.add(new HttpString(field.name()), field.value());
                }
            }
            putResultHeaders(ResultCode.DONE);
        });
    }

    private void putResultHeaders(ResultCode code) {
        HeaderMap target = exchange.getResponseHeaders();
        target.put(RESULT_HEADER, code.number());
        target.put(KNOWLEDGE_HEADER, wireNameOf(code));
        target.put(REQUEST_ID_HEADER, requestId);
    }

    private static String wireNameOf(ResultCode code) {
        return code.knowledge().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    @Override
    public void onBody(byte[] chunk, Runnable consumed) {
        exchange.getIoThread().execute(() -> {
            if (finished) {
                consumed.run();
                return;
            }
            chunks.add(new Chunk(ByteBuffer.wrap(chunk), consumed));
            write();
        });
    }

    @Override
    public void onEnd() {
        exchange.getIoThread().execute(() -> {
            ended = true;
            write();
        });
    }

    @Override
    public void onFailure(Failure failure) {
        exchange.getIoThread().execute(() -> {
            if (finished) {
                return;
            }
            if (channel != null) {
                abort(failure.code());
                return;
            }
            chunks.clear();
            exchange.getResponseHeaders().clear();
            writeFailure(failure);
        });
    }

    /** Refuses a request whose rest is not read. The connection is closed after the response. */
    void refuseAndClose(Failure failure) {
        exchange.setPersistent(false);
        onFailure(failure);
        exchange.getIoThread().executeAfter(this::closeUnlessComplete, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void closeUnlessComplete() {
        if (!exchange.isComplete()) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void writeFailure(Failure failure) {
        ResultCode code = failure.code();
        exchange.setStatusCode(code.httpStatus());
        putResultHeaders(code);
        HeaderMap target = exchange.getResponseHeaders();
        target.put(Headers.CONTENT_TYPE, "application/json");
        if (failure.retryAfterMillis() > 0) {
            long seconds = (failure.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            target.put(Headers.RETRY_AFTER, seconds);
        }
        byte[] body = bodyOf(failure);
        target.put(Headers.CONTENT_LENGTH, body.length);
        chunks.add(new Chunk(ByteBuffer.wrap(body), () -> {}));
        result = code;
        ended = true;
        write();
    }

    private static byte[] bodyOf(Failure failure) {
        ResultCode code = failure.code();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("code", code.number());
        fields.put("result", code.name());
        fields.put("knowledge", wireNameOf(code));
        fields.put("message", code.message() + ": " + failure.detail());
        fields.put("retryAfterMillis", failure.retryAfterMillis());
        try {
            return JSON.writeValueAsBytes(fields);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the body of a failure response as JSON", e);
        }
    }

    private void write() {
        if (finished) {
            return;
        }
        if (channel == null) {
            beforeFirstWrite.run();
            channel = exchange.getResponseChannel();
            channel.getWriteSetter().set(sink -> write());
        }
        try {
            writeChunks();
        } catch (IOException e) {
            abort(ResultCode.CANCELLED);
        }
    }

    private void writeChunks() throws IOException {
        while (!chunks.isEmpty()) {
            Chunk next = chunks.peek();
            while (next.bytes().hasRemaining()) {
                if (channel.write(next.bytes()) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            chunks.remove();
            next.consumed().run();
        }
        if (!ended) {
            flushPending();
            return;
        }
        channel.shutdownWrites();
        if (!channel.flush()) {
            channel.resumeWrites();
            return;
        }
        finish(result);
        exchange.endExchange();
    }

    private void flushPending() throws IOException {
        if (channel.flush()) {
            channel.suspendWrites();
        } else {
            channel.resumeWrites();
        }
    }

    private void abort(ResultCode code) {
        IoUtils.safeClose(exchange.getConnection());
        finish(code);
    }

    /** Discards the unwritten part of the response after the connection was closed. */
    void abandon() {
        abandoned = true;
        abort(ResultCode.CANCELLED);
    }

    private void finish(ResultCode code) {
        if (finished) {
            return;
        }
        finished = true;
        Deque<Chunk> unwritten = new ArrayDeque<>(chunks);
        chunks.clear();
        unwritten.forEach(chunk -> chunk.consumed().run());
        onFinished.accept(code);
    }
}

package org.lacewingthread.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.lacewingthread.core.traffic.ResultCode;
import org.xnio.XnioExecutor;
import org.xnio.channels.StreamSourceChannel;

/** Reads the complete body of a request on its I/O thread, up to a maximum size and within a timeout. */
final class BodyReader {
    private static final int READ_BUFFER_BYTES = 8 * 1024;

    private final HttpServerExchange exchange;
    private final int maxBytes;
    private final Listener listener;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private XnioExecutor.Key timer = XnioExecutor.Key.IMMEDIATE;
    private StreamSourceChannel channel;
    private boolean finished;

    /** Receives the body or the refusal. Exactly one method is called, once, after {@link #start}. */
    interface Listener {
        /** Called with the complete body. */
        void onBody(byte[] body);

        /** Called if there is no complete body. Nothing more can be read from the connection. */
        void onRefused(ResultCode code, String detail);
    }

    BodyReader(HttpServerExchange exchange, int maxBytes, Listener listener) {
        this.exchange = exchange;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    void start(long timeoutMillis) {
        if (exchange.getRequestContentLength() > maxBytes) {
            refuseTooLarge();
            return;
        }
        channel = exchange.getRequestChannel();
        channel.getReadSetter().set(source -> read());
        timer = exchange.getIoThread().executeAfter(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
        read();
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
        while (!finished) {
            int count = readInto(buffer.clear());
            if (count == 0) {
                channel.resumeReads();
                return;
            }
            if (count < 0) {
                end();
                return;
            }
            body.write(buffer.array(), 0, count);
            if (body.size() > maxBytes) {
                refuseTooLarge();
            }
        }
    }

    private int readInto(ByteBuffer buffer) {
        try {
            return channel.read(buffer);
        } catch (RequestTooBigException e) {
            refuseTooLarge();
            return 0;
        } catch (IOException e) {
            refuse(ResultCode.BODY_TRUNCATED, "the body ended after " + body.size() + " bytes");
            return 0;
        }
    }

    private void end() {
        long declared = exchange.getRequestContentLength();
        if (declared >= 0 && body.size() < declared) {
            refuse(
                    ResultCode.BODY_TRUNCATED,
                    "the body ended after " + body.size() + " of " + declared + " announced bytes");
            return;
        }
        if (finish()) {
            listener.onBody(body.toByteArray());
        }
    }

    private void onTimeout() {
        refuse(ResultCode.CALLER_TOO_SLOW, "only " + body.size() + " bytes of the body arrived in time");
    }

    private void refuseTooLarge() {
        refuse(ResultCode.BODY_TOO_LARGE, "send at most " + maxBytes + " bytes");
    }

    private void refuse(ResultCode code, String detail) {
        if (finish()) {
            listener.onRefused(code, detail);
        }
    }

    private boolean finish() {
        if (finished) {
            return false;
        }
        finished = true;
        timer.remove();
        if (channel != null) {
            channel.suspendReads();
        }
        return true;
    }
}

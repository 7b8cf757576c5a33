package org.lacewingthread.bench;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Connections of one I/O thread. A request waits while all of them are in use. */
final class HttpLane {
    private static final int MAX_WAITING = 200_000;

    private final URI target;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final int maxConnections;
    private final Deque<ClientConnection> idle = new ArrayDeque<>();
    private final Deque<PlannedRequest> waiting = new ArrayDeque<>();
    private int open;

    HttpLane(URI target, XnioIoThread thread, ByteBufferPool buffers, int maxConnections) {
        this.target = target;
        this.thread = thread;
        this.buffers = buffers;
        this.maxConnections = maxConnections;
    }

    /** Sends a request as soon as a connection is free; safe to call on any thread. */
    void submit(PlannedRequest request) {
        thread.execute(() -> {
            if (waiting.size() >= MAX_WAITING) {
                finish(request, "no-connection", false, true);
                return;
            }
            waiting.add(request);
            sendWaiting();
        });
    }

    private void sendWaiting() {
        while (!waiting.isEmpty()) {
            ClientConnection connection = idle.poll();
            if (connection == null) {
                openIfAllowed();
                return;
            }
            if (!connection.isOpen()) {
                open--;
                continue;
            }
            send(connection, waiting.remove());
        }
    }

    private void openIfAllowed() {
        if (open >= maxConnections) {
            return;
        }
        open++;
        UndertowClient.getInstance().connect(onConnected(), target, thread, buffers, OptionMap.EMPTY);
    }

    private ClientCallback<ClientConnection> onConnected() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                idle.add(connection);
                sendWaiting();
            }

            @Override
            public void failed(IOException e) {
                open--;
                PlannedRequest request = waiting.poll();
                if (request != null) {
                    finish(request, "connect-failed", false, true);
                    sendWaiting();
                }
            }
        };
    }

    private void send(ClientConnection connection, PlannedRequest request) {
        LaneCall call = new LaneCall(connection, target, request, outcome -> {
            if (connection.isOpen() && outcome.reusable()) {
                idle.add(connection);
            } else {
                open--;
                IoUtils.safeClose(connection);
            }
            finish(request, outcome.code(), outcome.success(), outcome.ownAnswer());
            sendWaiting();
        });
        XnioExecutor.Key timeout = thread.executeAfter(call::timeOut, request.timeoutMillis(), TimeUnit.MILLISECONDS);
        call.start(timeout);
    }

    private static void finish(PlannedRequest request, String code, boolean success, boolean ownAnswer) {
        long latencyMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - request.intendedNanos());
        request.onOutcome().accept(new PlannedRequest.Outcome(code, success, ownAnswer, latencyMicros));
    }
}

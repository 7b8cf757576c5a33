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

/** Connections of one I/O thread. Requests wait in a queue while all connections are in use. */
final class HttpConnectionPool {
    private static final int MAX_WAITING_REQUESTS = 200_000;

    private final URI target;
    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final int maxConnections;
    private final Deque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final Deque<PlannedRequest> waitingRequests = new ArrayDeque<>();
    private int openConnections;

    HttpConnectionPool(URI target, XnioIoThread thread, ByteBufferPool buffers, int maxConnections) {
        this.target = target;
        this.thread = thread;
        this.buffers = buffers;
        this.maxConnections = maxConnections;
    }

    /**
     * Sends a request as soon as a connection is free. Can be called from any thread. If the queue is full, the request
     * ends with the code {@code no-connection}.
     */
    void submit(PlannedRequest request) {
        thread.execute(() -> {
            if (waitingRequests.size() >= MAX_WAITING_REQUESTS) {
                complete(request, "no-connection", false, true);
                return;
            }
            waitingRequests.add(request);
            sendWaiting();
        });
    }

    private void sendWaiting() {
        while (!waitingRequests.isEmpty()) {
            ClientConnection connection = idleConnections.poll();
            if (connection == null) {
                openIfAllowed();
                return;
            }
            if (!connection.isOpen()) {
                openConnections--;
                continue;
            }
            send(connection, waitingRequests.remove());
        }
    }

    private void openIfAllowed() {
        if (openConnections >= maxConnections) {
            return;
        }
        openConnections++;
        UndertowClient.getInstance().connect(onConnected(), target, thread, buffers, OptionMap.EMPTY);
    }

    private ClientCallback<ClientConnection> onConnected() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                idleConnections.add(connection);
                sendWaiting();
            }

            @Override
            public void failed(IOException e) {
                openConnections--;
                PlannedRequest request = waitingRequests.poll();
                if (request != null) {
                    complete(request, "connect-failed", false, true);
                    sendWaiting();
                }
            }
        };
    }

    private void send(ClientConnection connection, PlannedRequest request) {
        PooledHttpExchange exchange = new PooledHttpExchange(connection, target, request, result -> {
            if (connection.isOpen() && result.reusable()) {
                idleConnections.add(connection);
            } else {
                openConnections--;
                IoUtils.safeClose(connection);
            }
            complete(request, result.code(), result.success(), result.matchesRequest());
            sendWaiting();
        });
        XnioExecutor.Key timeout =
                thread.executeAfter(exchange::timeOut, request.timeoutMillis(), TimeUnit.MILLISECONDS);
        exchange.start(timeout);
    }

    private static void complete(PlannedRequest request, String code, boolean success, boolean matchesRequest) {
        long latencyMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - request.intendedNanos());
        request.onOutcome().accept(new PlannedRequest.Outcome(code, success, matchesRequest, latencyMicros));
    }
}

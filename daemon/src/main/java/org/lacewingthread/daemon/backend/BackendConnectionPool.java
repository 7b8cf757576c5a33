package org.lacewingthread.daemon.backend;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.traffic.RetryDecision.FailedAttempt;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Pool of HTTP connections to one backend server. It limits the number of connections and of concurrent
 * connection attempts. A connection carries one request at a time and is reused only if its last exchange
 * left it in a known state.
 *
 * <pre>{@code
 * BackendConnectionPool pool = new BackendConnectionPool(server, limits, ioThread, buffers, clock);
 * ioThread.execute(() -> pool.send(request, responseHandler));
 * }</pre>
 *
 * <p>Confined to one I/O thread.
 */
public final class BackendConnectionPool {
    private final URI address;
    private final Limits limits;
    private final XnioIoThread ioThread;
    private final ByteBufferPool buffers;
    private final LongSupplier clockMillis;
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();
    private final Deque<QueuedRequest> queuedRequests = new ArrayDeque<>();
    private int openCount;
    private int connectingCount;
    private boolean closed;

    /**
     * Limits of the connections to one server.
     *
     * @param maxConnections maximum number of connections that are open or being opened
     * @param maxConcurrentConnects maximum number of concurrent connection attempts
     * @param connectTimeoutMillis connection timeout
     * @param maxIdleMillis time after which an unused connection is closed instead of reused
     */
    public record Limits(int maxConnections, int maxConcurrentConnects, long connectTimeoutMillis, long maxIdleMillis) {
        private static final int SPARE_CONNECTIONS = 4;
        private static final int MAX_ORDER_CONNECTIONS = 2;
        private static final int MAX_CONCURRENT_CONNECTS = 4;
        private static final long CONNECT_TIMEOUT_MILLIS = 250;
        private static final long MAX_IDLE_MILLIS = 10_000;

        /** Returns the limits for a dispatcher. They leave connections for a former dispatcher and for orders. */
        public static Limits forDispatcher(ServerSpec server) {
            int wanted = 2 * server.slots() + SPARE_CONNECTIONS;
            int max = Math.max(1, Math.min(wanted, server.maxConnections() / 2));
            return new Limits(max, MAX_CONCURRENT_CONNECTS, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        }

        /** Returns the limits for a leader, which sends only orders. */
        public static Limits forOrders() {
            return new Limits(MAX_ORDER_CONNECTIONS, 1, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        }
    }

    /** Handle of a submitted request. */
    public interface Handle {
        /** Abandons the request. Its response handler is not called again. */
        void abandon();
    }

    /** A connection and the exchange that it carries, or null while idle. */
    private static final class BackendConnection {
        private final ClientConnection clientConnection;
        private BackendExchange exchange;
        private long idleSinceMillis;

        BackendConnection(ClientConnection clientConnection) {
            this.clientConnection = clientConnection;
        }
    }

    private static final class QueuedRequest implements Handle {
        private final BackendRequest request;
        private final BackendResponseHandler responseHandler;
        private BackendExchange exchange;
        private boolean abandoned;

        QueuedRequest(BackendRequest request, BackendResponseHandler responseHandler) {
            this.request = request;
            this.responseHandler = responseHandler;
        }

        @Override
        public void abandon() {
            abandoned = true;
            if (exchange != null) {
                exchange.abandon();
            }
        }
    }

    /** Creates a pool without opening a connection. */
    public BackendConnectionPool(
            ServerSpec server, Limits limits, XnioIoThread ioThread, ByteBufferPool buffers, LongSupplier clockMillis) {
        this.address = URI.create("http://" + server.host() + ":" + server.port());
        this.limits = limits;
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.clockMillis = clockMillis;
    }

    /** Sends a request on an idle connection, or on a new one if none is idle. */
    public Handle send(BackendRequest request, BackendResponseHandler responseHandler) {
        return sendOnRecentlyUsed(request, responseHandler, Long.MIN_VALUE);
    }

    /**
     * Sends a request on an idle connection that was used after the given time, or on a new one if there is none.
     * A connection that was idle for longer may be unresponsive without being closed.
     */
    public Handle sendOnRecentlyUsed(
            BackendRequest request, BackendResponseHandler responseHandler, long usedAfterMillis) {
        QueuedRequest queued = new QueuedRequest(request, responseHandler);
        BackendConnection connection = pollIdle(usedAfterMillis);
        if (connection != null) {
            startExchange(queued, connection);
            return queued;
        }
        return queueForNewConnection(queued);
    }

    /** Sends a request on a new connection, to check that the server still accepts connections. */
    public Handle sendOnNewConnection(BackendRequest request, BackendResponseHandler responseHandler) {
        return queueForNewConnection(new QueuedRequest(request, responseHandler));
    }

    /** Returns the number of connections that are open or being opened. */
    public int count() {
        return openCount + connectingCount;
    }

    /** Closes the connections that carry no request. */
    public void closeIdle() {
        List<BackendConnection> connections = List.copyOf(idleConnections);
        idleConnections.clear();
        connections.forEach(connection -> IoUtils.safeClose(connection.clientConnection));
    }

    /** Closes all idle connections and rejects queued and new requests. Requests in flight complete. */
    public void close() {
        closed = true;
        closeIdle();
        failQueuedRequests("the connections to the server were shut down");
    }

    private BackendConnection pollIdle(long usedAfterMillis) {
        long oldestMillis = clockMillis.getAsLong() - limits.maxIdleMillis();
        while (!idleConnections.isEmpty() && idleConnections.peekLast().idleSinceMillis > usedAfterMillis) {
            BackendConnection newest = idleConnections.pollLast();
            if (newest.clientConnection.isOpen() && newest.idleSinceMillis >= oldestMillis) {
                return newest;
            }
            IoUtils.safeClose(newest.clientConnection);
        }
        return null;
    }

    private Handle queueForNewConnection(QueuedRequest queued) {
        if (closed) {
            // Provably not sent: the request was not assigned to a connection.
            queued.responseHandler.onFailed(FailedAttempt.NEVER_SENT, "the connections to the server were shut down");
            return queued;
        }
        queuedRequests.add(queued);
        connectIfAllowed();
        return queued;
    }

    private void connectIfAllowed() {
        if (connectingCount >= Math.min(limits.maxConcurrentConnects(), queuedRequests.size())) {
            return;
        }
        if (count() >= limits.maxConnections()) {
            closeLongestIdle();
            return;
        }
        connectingCount++;
        ConnectAttempt attempt = new ConnectAttempt();
        attempt.timeout = ioThread.executeAfter(
                () -> attempt.failed(new IOException("no connection within " + limits.connectTimeoutMillis() + " ms")),
                limits.connectTimeoutMillis(),
                TimeUnit.MILLISECONDS);
        UndertowClient.getInstance().connect(attempt, address, ioThread, buffers, OptionMap.EMPTY);
    }

    /** Closes the connection that was idle longest. Its close listener then opens a new one. */
    private void closeLongestIdle() {
        BackendConnection oldest = idleConnections.pollFirst();
        if (oldest != null) {
            IoUtils.safeClose(oldest.clientConnection);
        }
    }

    private final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private XnioExecutor.Key timeout;
        private boolean finished;

        @Override
        public void completed(ClientConnection clientConnection) {
            if (finished || closed) {
                IoUtils.safeClose(clientConnection);
                return;
            }
            finished = true;
            timeout.remove();
            connectingCount--;
            openCount++;
            BackendConnection connection = new BackendConnection(clientConnection);
            clientConnection.addCloseListener(channel -> onConnectionClosed(connection));
            serveNextOrKeepIdle(connection);
        }

        @Override
        public void failed(IOException e) {
            ioThread.execute(() -> {
                if (!finished) {
                    finished = true;
                    timeout.remove();
                    connectingCount--;
                    onConnectFailed("the server can't be connected to: " + e.getMessage());
                }
            });
        }
    }

    private void onConnectFailed(String detail) {
        if (connectingCount == 0) {
            failQueuedRequests(detail);
        }
    }

    private void failQueuedRequests(String detail) {
        Deque<QueuedRequest> failed = new ArrayDeque<>(queuedRequests);
        queuedRequests.clear();
        for (QueuedRequest queued : failed) {
            if (!queued.abandoned) {
                // Provably not sent: the request was not assigned to a connection.
                queued.responseHandler.onFailed(FailedAttempt.NEVER_SENT, detail);
            }
        }
    }

    private void serveNextOrKeepIdle(BackendConnection connection) {
        QueuedRequest next = queuedRequests.poll();
        while (next != null && next.abandoned) {
            next = queuedRequests.poll();
        }
        if (next == null) {
            connection.idleSinceMillis = clockMillis.getAsLong();
            idleConnections.add(connection);
            return;
        }
        startExchange(next, connection);
    }

    private void startExchange(QueuedRequest queued, BackendConnection connection) {
        BackendExchange exchange = new BackendExchange(
                connection.clientConnection,
                queued.request,
                queued.responseHandler,
                () -> ioThread.execute(() -> release(connection)));
        connection.exchange = exchange;
        queued.exchange = exchange;
        exchange.start();
    }

    /**
     * Returns a connection to the pool. Runs as a separate task on the I/O thread after the exchange has
     * returned, so that surplus response bytes close the connection before it is reused.
     */
    private void release(BackendConnection connection) {
        connection.exchange = null;
        if (closed || !connection.clientConnection.isOpen()) {
            IoUtils.safeClose(connection.clientConnection);
            return;
        }
        serveNextOrKeepIdle(connection);
    }

    private void onConnectionClosed(BackendConnection connection) {
        openCount--;
        idleConnections.remove(connection);
        if (connection.exchange != null) {
            connection.exchange.onConnectionClosed();
        }
        connectIfAllowed();
    }
}

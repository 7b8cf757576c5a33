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
import org.lacewingthread.core.traffic.RetryDecision.Attempt;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Connections to one backend server: bounded in number and in how many are opened at once, each with
 * one request at a time, kept only while clean.
 *
 * <pre>{@code
 * BackendConnectionPool connections = new BackendConnectionPool(server, limits, ioThread, buffers, clock);
 * ioThread.execute(() -> connections.send(call, answer));
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
    private final Deque<Waiting> queuedRequests = new ArrayDeque<>();
    private int openCount;
    private int connectingCount;
    private boolean closed;

    /**
     * Limits of the connections to one server.
     *
     * @param maxConnections most connections that may be open
     * @param maxOpening most connections that are opened at once
     * @param connectTimeoutMillis how long opening one may take
     * @param maxIdleMillis how long one is kept without a request
     */
    public record Limits(int maxConnections, int maxOpening, long connectTimeoutMillis, long maxIdleMillis) {
        private static final int SPARE_CONNECTIONS = 4;
        private static final int MAX_ORDER_CONNECTIONS = 2;
        private static final int MAX_CONCURRENT_CONNECTS = 4;
        private static final long CONNECT_TIMEOUT_MILLIS = 250;
        private static final long MAX_IDLE_MILLIS = 10_000;

        /** Returns a dispatcher's limits; they leave connections for a former dispatcher and for orders. */
        public static Limits forDispatcher(ServerSpec server) {
            int wanted = 2 * server.slots() + SPARE_CONNECTIONS;
            int max = Math.max(1, Math.min(wanted, server.maxConnections() / 2));
            return new Limits(max, MAX_CONCURRENT_CONNECTS, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        }

        /** Returns the limits of a leader that sends orders. */
        public static Limits forOrders() {
            return new Limits(MAX_ORDER_CONNECTIONS, 1, CONNECT_TIMEOUT_MILLIS, MAX_IDLE_MILLIS);
        }
    }

    /** A call that can be given up on. */
    public interface Handle {
        /** Gives up on the call; its answer is not reported any more. */
        void abandon();
    }

    /** One connection and the exchange that it carries. */
    private static final class BackendConnection {
        private final ClientConnection connection;
        private BackendExchange exchange;
        private long idleSinceMillis;

        BackendConnection(ClientConnection connection) {
            this.connection = connection;
        }
    }

    private static final class Waiting implements Handle {
        private final BackendRequest call;
        private final BackendResponseHandler answer;
        private BackendExchange exchange;
        private boolean abandoned;

        Waiting(BackendRequest call, BackendResponseHandler answer) {
            this.call = call;
            this.answer = answer;
        }

        @Override
        public void abandon() {
            abandoned = true;
            if (exchange != null) {
                exchange.abandon();
            }
        }
    }

    /** Creates connections to a server, none of them open yet. */
    public BackendConnectionPool(
            ServerSpec server, Limits limits, XnioIoThread ioThread, ByteBufferPool buffers, LongSupplier clockMillis) {
        this.address = URI.create("http://" + server.host() + ":" + server.port());
        this.limits = limits;
        this.ioThread = ioThread;
        this.buffers = buffers;
        this.clockMillis = clockMillis;
    }

    /** Sends a call on an idle connection, or on a new one. */
    public Handle send(BackendRequest call, BackendResponseHandler answer) {
        Waiting waiter = new Waiting(call, answer);
        BackendConnection link = pollIdle();
        if (link != null) {
            startExchange(waiter, link);
            return waiter;
        }
        return queueForNewConnection(waiter);
    }

    /** Sends a call on a new connection, so that it tells whether new connections work. */
    public Handle sendOnNewConnection(BackendRequest call, BackendResponseHandler answer) {
        return queueForNewConnection(new Waiting(call, answer));
    }

    /** Returns how many connections are open or being opened. */
    public int count() {
        return openCount + connectingCount;
    }

    /** Closes the connections that carry no call. */
    public void closeIdle() {
        List<BackendConnection> links = List.copyOf(idleConnections);
        idleConnections.clear();
        links.forEach(link -> IoUtils.safeClose(link.connection));
    }

    /** Closes all idle connections and refuses further calls; calls under way end by themselves. */
    public void close() {
        closed = true;
        closeIdle();
        failQueuedRequests("the connections to the server were shut down");
    }

    private BackendConnection pollIdle() {
        long oldestMillis = clockMillis.getAsLong() - limits.maxIdleMillis();
        while (!idleConnections.isEmpty()) {
            BackendConnection newest = idleConnections.pollLast();
            if (newest.connection.isOpen() && newest.idleSinceMillis >= oldestMillis) {
                return newest;
            }
            IoUtils.safeClose(newest.connection);
        }
        return null;
    }

    private Handle queueForNewConnection(Waiting waiter) {
        if (closed) {
            // Proof of "never sent": the call was given no connection.
            waiter.answer.onFailed(Attempt.NEVER_SENT, "the connections to the server were shut down");
            return waiter;
        }
        queuedRequests.add(waiter);
        connectIfAllowed();
        return waiter;
    }

    private void connectIfAllowed() {
        if (connectingCount >= Math.min(limits.maxOpening(), queuedRequests.size())) {
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

    /** Closes the connection that was idle longest; its closing lets a new one be opened. */
    private void closeLongestIdle() {
        BackendConnection oldest = idleConnections.pollFirst();
        if (oldest != null) {
            IoUtils.safeClose(oldest.connection);
        }
    }

    private final class ConnectAttempt implements ClientCallback<ClientConnection> {
        private XnioExecutor.Key timeout;
        private boolean finished;

        @Override
        public void completed(ClientConnection connection) {
            if (finished || closed) {
                IoUtils.safeClose(connection);
                return;
            }
            finished = true;
            timeout.remove();
            connectingCount--;
            openCount++;
            BackendConnection link = new BackendConnection(connection);
            connection.addCloseListener(c -> onConnectionClosed(link));
            serveNextOrKeepIdle(link);
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
        Deque<Waiting> failed = new ArrayDeque<>(queuedRequests);
        queuedRequests.clear();
        for (Waiting waiter : failed) {
            if (!waiter.abandoned) {
                // Proof of "never sent": the call was given no connection.
                waiter.answer.onFailed(Attempt.NEVER_SENT, detail);
            }
        }
    }

    private void serveNextOrKeepIdle(BackendConnection link) {
        Waiting next = queuedRequests.poll();
        while (next != null && next.abandoned) {
            next = queuedRequests.poll();
        }
        if (next == null) {
            link.idleSinceMillis = clockMillis.getAsLong();
            idleConnections.add(link);
            return;
        }
        startExchange(next, link);
    }

    private void startExchange(Waiting waiter, BackendConnection link) {
        BackendExchange exchange = new BackendExchange(
                link.connection, waiter.call, waiter.answer, () -> ioThread.execute(() -> release(link)));
        link.exchange = exchange;
        waiter.exchange = exchange;
        exchange.start();
    }

    /** Takes a connection back after its exchange has left the stack, so that late bytes close it first. */
    private void release(BackendConnection link) {
        link.exchange = null;
        if (closed || !link.connection.isOpen()) {
            IoUtils.safeClose(link.connection);
            return;
        }
        serveNextOrKeepIdle(link);
    }

    private void onConnectionClosed(BackendConnection link) {
        openCount--;
        idleConnections.remove(link);
        if (link.exchange != null) {
            link.exchange.onConnectionClosed();
        }
        connectIfAllowed();
    }
}

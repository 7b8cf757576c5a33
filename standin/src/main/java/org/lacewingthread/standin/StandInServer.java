package org.lacewingthread.standin;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * HTTP server on the loopback address that tracks its connections, so that a stand-in can limit and
 * silence them. A silenced connection stays open, but {@link #isSilent} tells the handler to neither
 * process nor answer its requests.
 */
final class StandInServer implements AutoCloseable {
    private static final int IO_THREADS = 2;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int BACKLOG = 1_024;
    private static final long MAX_BODY_BYTES = 64L << 20;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final HttpOpenListener httpListener;
    private final ScheduledExecutorService timer;
    private final Map<SocketAddress, StreamConnection> connections = new ConcurrentHashMap<>();
    private final Set<SocketAddress> silentPeers = ConcurrentHashMap.newKeySet();
    private AcceptingChannel<StreamConnection> acceptor;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile int maxConnections = Integer.MAX_VALUE;

    /**
     * Creates a server that does not listen yet.
     *
     * @param name name of the server's threads
     * @param handler called on an I/O thread; must not block
     */
    StandInServer(String name, HttpHandler handler) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, IO_THREADS)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, name)
                        .getMap());
        timer = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, name + " timer");
            thread.setDaemon(true);
            return thread;
        });
        httpListener = new HttpOpenListener(buffers, OptionMap.create(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES));
        httpListener.setRootHandler(handler);
    }

    /**
     * Starts listening.
     *
     * @param port port on the loopback address, or 0 for any free one
     */
    void listen(int port) throws IOException {
        try {
            acceptor = worker.createStreamConnectionServer(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                    ChannelListeners.openListenerAdapter(this::onConnection),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, BACKLOG)
                            .getMap());
            acceptor.resumeAccepts();
        } catch (IOException e) {
            close();
            throw new IOException("can't listen on loopback port " + port + ": " + e.getMessage(), e);
        }
    }

    private void onConnection(StreamConnection connection) {
        if (register(connection)) {
            httpListener.handleEvent(connection);
        } else {
            IoUtils.safeClose(connection);
        }
    }

    /** Registers a new connection; returns false if the limit is reached. */
    private synchronized boolean register(StreamConnection connection) {
        connections.values().removeIf(existing -> !existing.isOpen());
        silentPeers.retainAll(connections.keySet());
        if (connections.size() - silentPeers.size() >= maxConnections) {
            return false;
        }
        silentPeers.remove(connection.getPeerAddress());
        connections.put(connection.getPeerAddress(), connection);
        return true;
    }

    /** Returns whether the exchange's connection was silenced. */
    boolean isSilent(HttpServerExchange exchange) {
        return silentPeers.contains(exchange.getConnection().getPeerAddress());
    }

    /** Silences all connections that are open now, but not that of an exchange, which may be null. */
    synchronized void silenceConnections(HttpServerExchange except) {
        silentPeers.addAll(connections.keySet());
        if (except != null) {
            silentPeers.remove(except.getConnection().getPeerAddress());
        }
    }

    /** Limits the open connections, silenced ones not counted; further ones are closed when accepted. */
    void setMaxConnections(int limit) {
        maxConnections = limit;
    }

    /** Returns the number of open connections. */
    int openConnections() {
        connections.values().removeIf(existing -> !existing.isOpen());
        return connections.size();
    }

    /** Runs a task after a delay, or immediately on the calling thread if the delay is 0. */
    void schedule(long delayMillis, Runnable task) {
        if (delayMillis <= 0) {
            task.run();
            return;
        }
        timer.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    int port() {
        return acceptor.getLocalAddress(InetSocketAddress.class).getPort();
    }

    URI uri() {
        return URI.create("http://127.0.0.1:" + port());
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        IoUtils.safeClose(acceptor);
        connections.values().forEach(IoUtils::safeClose);
        timer.shutdownNow();
        worker.shutdownNow();
    }
}

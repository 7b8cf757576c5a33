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
 * HTTP listener on the loopback address that knows its connections, so that a stand-in can limit them
 * and let them go silent: {@link #isSilent} then tells the handler to do and answer nothing.
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
     * Creates one that does not listen yet.
     *
     * @param name name of its threads
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

    private synchronized boolean register(StreamConnection connection) {
        connections.values().removeIf(known -> !known.isOpen());
        silentPeers.retainAll(connections.keySet());
        if (connections.size() - silentPeers.size() >= maxConnections) {
            return false;
        }
        silentPeers.remove(connection.getPeerAddress());
        connections.put(connection.getPeerAddress(), connection);
        return true;
    }

    /** Returns whether an exchange's connection has gone silent. */
    boolean isSilent(HttpServerExchange exchange) {
        return silentPeers.contains(exchange.getConnection().getPeerAddress());
    }

    /** Lets every connection that is open now go silent for good, but for one. */
    synchronized void silenceConnections(HttpServerExchange except) {
        silentPeers.addAll(connections.keySet());
        if (except != null) {
            silentPeers.remove(except.getConnection().getPeerAddress());
        }
    }

    /** Sets how many connections may be open, silent ones not counted; more are closed as they come. */
    void setMaxConnections(int limit) {
        maxConnections = limit;
    }

    /** Returns how many connections are open. */
    int openConnections() {
        connections.values().removeIf(known -> !known.isOpen());
        return connections.size();
    }

    /** Runs a task after a delay, at once if the delay is 0. */
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

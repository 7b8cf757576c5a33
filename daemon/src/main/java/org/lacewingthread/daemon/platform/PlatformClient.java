package org.lacewingthread.daemon.platform;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Blocking HTTP client with timeouts and a connection pool. It is shared by the clients of the platform's services. A
 * connection is reused only if its last response was read completely, so that a late response can't be taken for that
 * of the next request.
 *
 * <pre>{@code
 * try (PlatformClient client = PlatformClient.open(new PlatformClient.Timeouts(500, 2_000))) {
 *     PlatformLog log = new HttpPlatformLog(client, URI.create("http://10.0.0.9:7000"), "routing");
 *     VmList vms = new HttpVmList(client, URI.create("http://10.0.0.9:7001"));
 * }
 * }</pre>
 *
 * <p>Safe for use by several threads.
 */
public final class PlatformClient implements AutoCloseable {
    private static final int IO_THREADS = 1;
    private static final int TASK_THREADS = 1;
    private static final int BUFFER_BYTES = 16 << 10;
    private static final int MAX_IDLE_CONNECTIONS = 4;
    private static final long MAX_IDLE_MILLIS = 10_000;

    private final XnioWorker worker;
    private final ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES);
    private final Timeouts timeouts;
    private final Map<URI, Deque<PooledConnection>> idleConnections = new HashMap<>();

    /**
     * Time limits of a call.
     *
     * @param connectMillis maximum time to open a connection
     * @param responseMillis maximum time from sending a request to the end of its response
     */
    public record Timeouts(long connectMillis, long responseMillis) {
        /** Checks that both are positive. */
        public Timeouts {
            if (connectMillis < 1 || responseMillis < 1) {
                throw new IllegalArgumentException("connect timeout " + connectMillis + " ms and response timeout "
                        + responseMillis + " ms must both be at least 1 ms");
            }
        }
    }

    /** Thrown when the request was not sent because no connection could be opened. */
    public static final class NotSentException extends IOException {
        NotSentException(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** A pooled connection. Only one call at a time uses it. */
    private static final class PooledConnection {
        private final ClientConnection channel;
        private volatile HttpCall currentCall;
        private volatile long idleUntilNanos;

        PooledConnection(ClientConnection channel) {
            this.channel = channel;
            channel.addCloseListener(closed -> {
                HttpCall call = currentCall;
                if (call != null) {
                    call.connectionClosed();
                }
            });
        }

        CompletableFuture<BufferedHttpResponse> start(ClientRequest request, byte[] body) {
            HttpCall call = new HttpCall(channel, request, body);
            currentCall = call;
            channel.getIoThread().execute(call);
            if (!channel.isOpen()) {
                call.connectionClosed();
            }
            return call.response();
        }

        void close() {
            IoUtils.safeClose(channel);
        }
    }

    private PlatformClient(XnioWorker worker, Timeouts timeouts) {
        this.worker = worker;
        this.timeouts = timeouts;
    }

    /**
     * Starts a client with its I/O threads.
     *
     * @throws IOException if its threads can't be started
     */
    public static PlatformClient open(Timeouts timeouts) throws IOException {
        OptionMap options = OptionMap.builder()
                .set(Options.WORKER_IO_THREADS, IO_THREADS)
                .set(Options.WORKER_TASK_CORE_THREADS, TASK_THREADS)
                .set(Options.WORKER_TASK_MAX_THREADS, TASK_THREADS)
                .set(Options.THREAD_DAEMON, true)
                .set(Options.WORKER_NAME, "platform-client")
                .getMap();
        return new PlatformClient(Xnio.getInstance().createWorker(options), timeouts);
    }

    /**
     * Sends a request and waits until its response is read completely.
     *
     * @throws NotSentException if the request was not sent
     * @throws IOException if the request may have been received, but no complete response arrived
     */
    public BufferedHttpResponse call(URI base, HttpString method, String path, byte[] body) throws IOException {
        return call(base, method, path, List.of(), body);
    }

    /**
     * Sends a request with additional header fields and waits until its response is read completely.
     *
     * @throws NotSentException if the request was not sent
     * @throws IOException if the request may have been received, but no complete response arrived
     */
    public BufferedHttpResponse call(URI base, HttpString method, String path, List<HeaderField> headers, byte[] body)
            throws IOException {
        PooledConnection connection = acquire(base);
        ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
        request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
        headers.forEach(header -> request.getRequestHeaders().put(new HttpString(header.name()), header.value()));
        if (body.length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body.length);
        }
        try {
            BufferedHttpResponse response = await(connection.start(request, body), timeouts.responseMillis());
            release(base, connection);
            return response;
        } catch (TimeoutException e) {
            connection.close();
            throw new IOException(
                    "no complete response to " + method + " " + base + path + " within " + timeouts.responseMillis()
                            + " ms",
                    e);
        } catch (IOException e) {
            connection.close();
            throw new IOException("no complete response to " + method + " " + base + path + ": " + e.getMessage(), e);
        }
    }

    private PooledConnection acquire(URI base) throws NotSentException {
        PooledConnection idle = takeIdle(base);
        return idle == null ? new PooledConnection(connect(base)) : idle;
    }

    private ClientConnection connect(URI base) throws NotSentException {
        CompletableFuture<ClientConnection> connected = new CompletableFuture<>();
        UndertowClient.getInstance().connect(closeIfLate(connected), base, worker, buffers, OptionMap.EMPTY);
        try {
            return await(connected, timeouts.connectMillis());
        } catch (TimeoutException e) {
            throw new NotSentException(
                    "could not connect to " + base + " within " + timeouts.connectMillis() + " ms", e);
        } catch (IOException e) {
            throw new NotSentException("can't connect to " + base + ": " + e.getMessage(), e);
        } finally {
            connected.cancel(false);
        }
    }

    private static ClientCallback<ClientConnection> closeIfLate(CompletableFuture<ClientConnection> connected) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                if (!connected.complete(connection)) {
                    IoUtils.safeClose(connection);
                }
            }

            @Override
            public void failed(IOException e) {
                connected.completeExceptionally(e);
            }
        };
    }

    private static <T> T await(CompletableFuture<T> future, long timeoutMillis) throws IOException, TimeoutException {
        try {
            return future.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private synchronized PooledConnection takeIdle(URI base) {
        Deque<PooledConnection> idle = idleConnections.getOrDefault(base, new ArrayDeque<>());
        while (!idle.isEmpty()) {
            PooledConnection candidate = idle.pop();
            if (candidate.channel.isOpen() && candidate.idleUntilNanos - System.nanoTime() > 0) {
                return candidate;
            }
            candidate.close();
        }
        return null;
    }

    private synchronized void release(URI base, PooledConnection connection) {
        Deque<PooledConnection> idle = idleConnections.computeIfAbsent(base, key -> new ArrayDeque<>());
        if (!connection.channel.isOpen() || idle.size() >= MAX_IDLE_CONNECTIONS) {
            connection.close();
            return;
        }
        connection.idleUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_IDLE_MILLIS);
        idle.push(connection);
    }

    /** Closes all connections and stops the threads. Calls in progress fail. */
    @Override
    public void close() {
        synchronized (this) {
            idleConnections.values().forEach(idle -> idle.forEach(PooledConnection::close));
            idleConnections.clear();
        }
        worker.shutdownNow();
        buffers.close();
    }
}

package org.lacewingthread.daemon.http;

import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.lacewingthread.core.memory.MemoryAccount;

/**
 * Pool of idle connections for each peer; the most recently used connection is reused first. All methods must be
 * called on the event loop.
 *
 * <pre>{@code
 * pool.acquire(peer, address, (connection, failure) -> { ... });
 * ...
 * pool.release(peer, connection);
 * }</pre>
 *
 * @param <K> key of a peer; a restarted peer must get a new key
 */
public final class ConnectionPool<K> {
    /** Bytes of all unfinished responses together, well below the heap of an entry VM. */
    private static final long MAX_RESPONSE_BYTES = 32L << 20;

    private final EventLoop eventLoop;
    private final LongSupplier clockMillis;
    private final int connectTimeoutMillis;
    private final long maxIdleMillis;
    private final ResponseMemory responseMemory = new ResponseMemory(MAX_RESPONSE_BYTES);
    private final OpenListener<K> openListener;
    private final Map<K, Deque<IdleConnection>> idleByPeer = new HashMap<>();
    private BiConsumer<K, DroppedResponse> dropListener = (peer, dropped) -> {};
    private long openedCount;

    /**
     * Receives the results of opening connections.
     *
     * @param <K> key of a peer
     */
    public interface OpenListener<K> {
        /** Called when a new connection to a peer is open. */
        void onOpened(K peer);

        /**
         * Called when a new connection to a peer could not be opened.
         *
         * @param startedMillis when it was started, by the pool's clock
         */
        void onOpenFailed(K peer, long startedMillis);

        /** Called before {@link #onOpenFailed} if nothing listens at the peer's address. */
        default void onRefused(K peer) {}
    }

    private record IdleConnection(OutboundConnection connection, long usableUntilMillis) {}

    /**
     * Creates an empty pool.
     *
     * @param eventLoop event loop that runs the connections
     * @param clockMillis monotonic clock in milliseconds
     * @param connectTimeoutMillis connect timeout
     * @param maxIdleMillis idle connections are not reused after this time; must be shorter than the idle timeout of
     *     the peers, which would otherwise close a connection while a request is on its way
     */
    public ConnectionPool(EventLoop eventLoop, LongSupplier clockMillis, int connectTimeoutMillis, long maxIdleMillis) {
        this(eventLoop, clockMillis, connectTimeoutMillis, maxIdleMillis, new OpenListener<>() {
            @Override
            public void onOpened(K peer) {}

            @Override
            public void onOpenFailed(K peer, long startedMillis) {}
        });
    }

    /** Creates an empty pool whose listener is told of each new connection, before the connection is used. */
    public ConnectionPool(
            EventLoop eventLoop,
            LongSupplier clockMillis,
            int connectTimeoutMillis,
            long maxIdleMillis,
            OpenListener<K> openListener) {
        this.openListener = openListener;
        this.eventLoop = eventLoop;
        this.clockMillis = clockMillis;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.maxIdleMillis = maxIdleMillis;
    }

    /** Counts the bodies of unfinished responses in the account of the process as well. */
    public void countIn(MemoryAccount account) {
        responseMemory.countIn(account, clockMillis);
    }

    /** Sets who is told of responses that counted for no request. */
    public void setDropListener(BiConsumer<K, DroppedResponse> listener) {
        dropListener = listener;
    }

    /**
     * Acquires an idle connection, or opens one.
     *
     * @param peer key of the peer
     * @param address address for a new connection
     * @param result receives the connection, or null and the cause of the failure
     */
    public void acquire(K peer, InetSocketAddress address, BiConsumer<OutboundConnection, Throwable> result) {
        acquireIdle(peer).ifPresentOrElse(idle -> result.accept(idle, null), () -> open(peer, address, result));
    }

    /** Acquires an idle connection; empty if the peer has none that can be used. */
    public Optional<OutboundConnection> acquireIdle(K peer) {
        Deque<IdleConnection> idle = idleByPeer.getOrDefault(peer, new ArrayDeque<>());
        long nowMillis = clockMillis.getAsLong();
        while (!idle.isEmpty()) {
            IdleConnection newest = idle.removeFirst();
            if (newest.connection().isUsable() && nowMillis < newest.usableUntilMillis()) {
                return Optional.of(newest.connection());
            }
            newest.connection().close();
        }
        return Optional.empty();
    }

    /**
     * Opens a connection, whatever is idle.
     *
     * @param peer key of the peer
     * @param address address of the peer
     * @param result receives the connection, or null and the cause of the failure
     */
    public void acquireNew(K peer, InetSocketAddress address, BiConsumer<OutboundConnection, Throwable> result) {
        open(peer, address, result);
    }

    /** Opens a connection to a peer and keeps it as an idle one, to find out whether the peer can be reached. */
    public void openIdle(K peer, InetSocketAddress address) {
        open(peer, address, (connection, failure) -> {
            if (connection != null) {
                release(peer, connection);
            }
        });
    }

    private void open(K peer, InetSocketAddress address, BiConsumer<OutboundConnection, Throwable> result) {
        openedCount++;
        long startedMillis = clockMillis.getAsLong();
        OutboundConnection.open(
                eventLoop,
                address.getHostString(),
                address.getPort(),
                connectTimeoutMillis,
                responseMemory,
                (connection, failure) -> {
                    if (connection != null) {
                        connection.setDropListener(dropped -> dropListener.accept(peer, dropped));
                        openListener.onOpened(peer);
                    } else {
                        if (failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException)) {
                            openListener.onRefused(peer);
                        }
                        openListener.onOpenFailed(peer, startedMillis);
                    }
                    result.accept(connection, failure);
                });
    }

    /** Returns a connection to the pool after its response; closes it if it can't be reused. */
    public void release(K peer, OutboundConnection connection) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        long idleMillis = Math.min(maxIdleMillis, connection.idleLimitMillis());
        idleByPeer
                .computeIfAbsent(peer, key -> new ArrayDeque<>())
                .addFirst(new IdleConnection(connection, clockMillis.getAsLong() + idleMillis));
    }

    /** Closes all idle connections, for example because their peers can't be reached any more. */
    public void closeAllIdle() {
        idleByPeer
                .values()
                .forEach(idle -> idle.forEach(entry -> entry.connection().close()));
        idleByPeer.clear();
    }

    /** Closes the idle connections of a peer, for example because a request to it got no response. */
    public void closeIdle(K peer) {
        Deque<IdleConnection> idle = idleByPeer.remove(peer);
        if (idle != null) {
            idle.forEach(entry -> entry.connection().close());
        }
    }

    /** Closes idle connections that have expired or broken, and those of peers that {@code isKnown} rejects. */
    public void evictStale(Predicate<K> isKnown) {
        long nowMillis = clockMillis.getAsLong();
        for (K peer : new HashSet<>(idleByPeer.keySet())) {
            Deque<IdleConnection> idle = idleByPeer.get(peer);
            boolean unknown = !isKnown.test(peer);
            for (Iterator<IdleConnection> all = idle.iterator(); all.hasNext(); ) {
                IdleConnection entry = all.next();
                if (unknown
                        || nowMillis >= entry.usableUntilMillis()
                        || !entry.connection().isUsable()) {
                    entry.connection().close();
                    all.remove();
                }
            }
            if (idle.isEmpty()) {
                idleByPeer.remove(peer);
            }
        }
    }

    /** Returns the number of connection attempts since the pool was created. */
    public long openedCount() {
        return openedCount;
    }
}

package org.lacewingthread.daemon.http;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

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
    private final EventLoop eventLoop;
    private final LongSupplier clockMillis;
    private final int connectTimeoutMillis;
    private final long maxIdleMillis;
    private final Map<K, Deque<IdleConnection>> idleByPeer = new HashMap<>();
    private long openedCount;

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
        this.eventLoop = eventLoop;
        this.clockMillis = clockMillis;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.maxIdleMillis = maxIdleMillis;
    }

    /**
     * Acquires an idle connection, or opens one.
     *
     * @param peer key of the peer
     * @param address address for a new connection
     * @param result receives the connection, or null and the cause of the failure
     */
    public void acquire(K peer, InetSocketAddress address, BiConsumer<OutboundConnection, Throwable> result) {
        Deque<IdleConnection> idle = idleByPeer.getOrDefault(peer, new ArrayDeque<>());
        long nowMillis = clockMillis.getAsLong();
        while (!idle.isEmpty()) {
            IdleConnection newest = idle.removeFirst();
            if (newest.connection().isUsable() && nowMillis < newest.usableUntilMillis()) {
                result.accept(newest.connection(), null);
                return;
            }
            newest.connection().close();
        }
        openedCount++;
        OutboundConnection.open(eventLoop, address.getHostString(), address.getPort(), connectTimeoutMillis, result);
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

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
 * IdleConnection connections by peer, the most recently used first. All methods run on the event loop.
 *
 * <pre>{@code
 * pool.take(peer, address, (connection, failure) -> { ... });
 * ...
 * pool.giveBack(peer, connection);
 * }</pre>
 *
 * @param <K> names a peer; a peer that restarts gets another name
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
     * @param clockMillis steady clock
     * @param connectTimeoutMillis longest time to connect
     * @param maxIdleMillis idle connections are closed after this time; has to be shorter than the
     *     peers' own limit
     */
    public ConnectionPool(EventLoop eventLoop, LongSupplier clockMillis, int connectTimeoutMillis, long maxIdleMillis) {
        this.eventLoop = eventLoop;
        this.clockMillis = clockMillis;
        this.connectTimeoutMillis = connectTimeoutMillis;
        this.maxIdleMillis = maxIdleMillis;
    }

    /** Hands out an idle connection, or opens one; the result is the connection, or null and a failure. */
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

    /** Takes a connection back after an answer. */
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

    /** Closes the idle connections of a peer, because one of its connections went silent. */
    public void closeIdle(K peer) {
        Deque<IdleConnection> idle = idleByPeer.remove(peer);
        if (idle != null) {
            idle.forEach(entry -> entry.connection().close());
        }
    }

    /** Closes connections that were idle for too long, and those of peers that are gone. */
    public void evictStale(Predicate<K> isKnown) {
        long nowMillis = clockMillis.getAsLong();
        for (K peer : new HashSet<>(idleByPeer.keySet())) {
            Deque<IdleConnection> idle = idleByPeer.get(peer);
            boolean gone = !isKnown.test(peer);
            for (Iterator<IdleConnection> all = idle.iterator(); all.hasNext(); ) {
                IdleConnection entry = all.next();
                if (gone
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

    /** Returns how many connections were opened. */
    public long openedCount() {
        return openedCount;
    }
}

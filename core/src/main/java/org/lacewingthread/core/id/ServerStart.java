package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * One life of a backend server. A server that restarts may keep its id, but it holds no keys and
 * remembers nothing of its earlier life.
 *
 * @param server the server
 * @param startedUnixMillis when this life began, by the server's own clock; names the life, is never
 *     compared with other clocks
 */
public record ServerStart(ServerId server, long startedUnixMillis) implements Comparable<ServerStart> {
    private static final Comparator<ServerStart> ORDER =
            Comparator.comparing(ServerStart::server).thenComparingLong(ServerStart::startedUnixMillis);

    /** Checks that the server is named. */
    public ServerStart {
        if (server == null) {
            throw new IllegalArgumentException("server start lacks its server");
        }
    }

    @Override
    public int compareTo(ServerStart other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return server + "@" + startedUnixMillis;
    }
}

package org.lacewingthread.core.id;

import java.util.Comparator;

/**
 * One incarnation of a backend server. A server that restarts may keep its id, but it owns no keys and
 * has no state of its earlier incarnation.
 *
 * @param server id of the server
 * @param startedUnixMillis start time by the server's own clock; only identifies the incarnation and is never
 *     compared with other clocks
 */
public record ServerStart(ServerId server, long startedUnixMillis) implements Comparable<ServerStart> {
    private static final Comparator<ServerStart> ORDER =
            Comparator.comparing(ServerStart::server).thenComparingLong(ServerStart::startedUnixMillis);

    /** Checks that the server id is present. */
    public ServerStart {
        if (server == null) {
            throw new IllegalArgumentException("server start lacks its server");
        }
    }

    /** Returns whether the next start of the server may have the same id; without a start time it gets a new one. */
    public boolean mayRestartWithSameId() {
        return startedUnixMillis != 0;
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

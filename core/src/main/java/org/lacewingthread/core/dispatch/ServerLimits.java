package org.lacewingthread.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * The limits that servers name in their responses, as one entry VM knows them. A limit is in force from the response
 * that names it until a response to a later request doesn't.
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
final class ServerLimits {
    private final Map<ServerStart, Limit> limits = new HashMap<>();

    /** A limit in force. */
    private static final class Limit {
        private NamedLimit named;
        private long namedAtMillis;
    }

    /** Drops the limits of servers that are no longer known; a restarted server starts without one. */
    void retain(Set<ServerStart> known) {
        limits.keySet().retainAll(known);
    }

    /** Returns the limit of a server that is in force. */
    Optional<NamedLimit> limit(ServerStart server) {
        return Optional.ofNullable(limits.get(server)).map(limit -> limit.named);
    }

    /** Records that a server named a limit in a response; returns whether the limit is a new one. */
    boolean onNamed(ServerStart server, NamedLimit named, long nowMillis) {
        Limit limit = limits.computeIfAbsent(server, start -> new Limit());
        boolean changed = !named.equals(limit.named);
        limit.named = named;
        limit.namedAtMillis = nowMillis;
        return changed;
    }

    /**
     * Records a response without a limit; returns whether it ends one. The response to a request that was sent before the
     * limit was named may have been made before it too.
     */
    boolean onNotNamed(ServerStart server, long sentAtMillis) {
        Limit limit = limits.get(server);
        return limit != null && sentAtMillis > limit.namedAtMillis && limits.remove(server, limit);
    }
}

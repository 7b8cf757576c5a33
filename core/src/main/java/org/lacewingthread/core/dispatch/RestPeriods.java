package org.lacewingthread.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ServerStart;

/**
 * The times for which servers want no requests of this entry VM. Only the end of the time, or a new start of the server,
 * ends a rest: neither a later and shorter one, nor a response without one, nor a gap in the server's registration.
 */
final class RestPeriods {
    private final Map<ServerStart, Long> endMillisByServer = new HashMap<>();

    /** Records a rest; returns whether it ends later than the one in force. */
    boolean onAsked(ServerStart server, long endMillis) {
        long formerEndMillis = endMillisByServer.getOrDefault(server, Long.MIN_VALUE);
        endMillisByServer.put(server, Math.max(formerEndMillis, endMillis));
        return endMillis > formerEndMillis;
    }

    boolean isResting(ServerStart server, long nowMillis) {
        return remainingMillis(server, nowMillis) > 0;
    }

    /** Returns the time until a server's rest ends; 0 if it has none. */
    long remainingMillis(ServerStart server, long nowMillis) {
        return Math.max(0, endMillisByServer.getOrDefault(server, nowMillis) - nowMillis);
    }

    /** Returns the time until the first rest of some resting servers ends. */
    long shortestMillis(List<ServerLoadState> resting, long nowMillis) {
        return resting.stream()
                .mapToLong(state -> remainingMillis(state.knownServer().start(), nowMillis))
                .min()
                .orElse(0);
    }

    void removeEnded(long nowMillis) {
        endMillisByServer.values().removeIf(endMillis -> endMillis <= nowMillis);
    }
}

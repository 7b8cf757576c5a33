package org.lacewingthread.daemon.router;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/** The servers that ended under requests, here or at other entry VMs. Used by the traffic thread only. */
final class EndedServers {
    /** Time from which an answer shows that its server runs; an earlier one may have been sent before its end. */
    private static final long STALE_ANSWER_MILLIS = 100;
    /** Most servers that are remembered; all are forgotten then, which only lets wrong evidence stand. */
    private static final int MAX_SERVERS = 5_000;

    private final Map<ServerStart, Long> endedMillis = new HashMap<>();
    private final Set<ServerStart> endedHere = new HashSet<>();

    /** Records that a server ended under a request of this VM. */
    void onEndedHere(ServerStart server, long nowMillis) {
        onEnded(server, nowMillis);
        endedHere.add(server);
    }

    /** Records that a server ended. */
    void onEnded(ServerStart server, long nowMillis) {
        if (endedMillis.size() >= MAX_SERVERS) {
            endedMillis.clear();
            endedHere.clear();
        }
        endedMillis.putIfAbsent(server, nowMillis);
    }

    /** Returns whether one of the servers ended under a request of this VM. */
    boolean isAnyEndedHere(Collection<ServerStart> servers) {
        return servers.stream().anyMatch(endedHere::contains);
    }

    /** Records an answer of a server; returns whether it shows that the server did not end. */
    boolean onAnswer(ServerStart server, long nowMillis) {
        Long ended = endedMillis.get(server);
        if (ended == null || nowMillis - ended <= STALE_ANSWER_MILLIS) {
            return false;
        }
        endedMillis.remove(server);
        endedHere.remove(server);
        return true;
    }
}

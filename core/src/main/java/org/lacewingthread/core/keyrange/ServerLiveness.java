package org.lacewingthread.core.keyrange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/** What a leader's own calls and the registry say about lives of servers that are silent or over. */
final class ServerLiveness {
    /** How long a server may leave renewals unanswered before they stop and its hold runs out. */
    private static final long UNRESPONSIVE_AFTER_MILLIS = 900;
    /** How long a server that answered no grants gets none after its last one ran out. */
    private static final long UNRESPONSIVE_EXCLUSION_MILLIS = 3_000;

    private final Set<ServerStart> ended = new HashSet<>();
    private final Map<ServerStart, Long> unresponsiveUntilMillis = new HashMap<>();
    private final Set<ServerStart> suspected = new HashSet<>();

    void recordAnswer(ServerStart server) {
        unresponsiveUntilMillis.remove(server);
        suspected.remove(server);
    }

    /** Tells whether the newest answer from a server that was waited for did not come. */
    boolean isSuspected(ServerStart server) {
        return suspected.contains(server);
    }

    /** Takes in that a grant got no answer. */
    void recordUnansweredGrant(RangeHold hold, long nowMillis) {
        suspected.add(hold.owner);
        long since = hold.unansweredSinceMillis.orElse(nowMillis);
        hold.unansweredSinceMillis = Optional.of(since);
        if (nowMillis - since >= UNRESPONSIVE_AFTER_MILLIS) {
            unresponsiveUntilMillis.merge(
                    hold.owner, hold.ownerHeldUntilMillis + UNRESPONSIVE_EXCLUSION_MILLIS, Math::max);
        }
    }

    void recordEnded(ServerStart server) {
        ended.add(server);
    }

    void removeExpired(long nowMillis) {
        unresponsiveUntilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /** Tells whether grants to a server would only delay the takeover of its keys. */
    boolean isUnresponsiveOrEnded(ServerStart server) {
        return unresponsiveUntilMillis.containsKey(server) || ended.contains(server);
    }

    /** Tells whether a life of a server is over: its address has another server, or it started anew. */
    boolean hasEnded(ServerStart server, ServiceView view) {
        return ended.contains(server) || hasRestarted(server, view);
    }

    private static boolean hasRestarted(ServerStart server, ServiceView view) {
        return view != null
                && view.registered().stream()
                        .anyMatch(start -> start.server().equals(server.server())
                                && start.startedUnixMillis() > server.startedUnixMillis());
    }
}

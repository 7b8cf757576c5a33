package org.lacewingthread.core.keyrange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/** What a leader's own calls and the registry say about lives of servers that are silent or over. */
final class ServerEvidence {
    /** How long a server may leave renewals unanswered before they stop and its hold runs out. */
    private static final long SILENCE_MILLIS = 900;
    /** How long a server that answered no grants gets none after its last one ran out. */
    private static final long SILENT_REST_MILLIS = 3_000;

    private final Set<ServerStart> ended = new HashSet<>();
    private final Map<ServerStart, Long> silentUntilMillis = new HashMap<>();
    private final Set<ServerStart> suspected = new HashSet<>();

    void noteAnswered(ServerStart server) {
        silentUntilMillis.remove(server);
        suspected.remove(server);
    }

    /** Tells whether the newest answer from a server that was waited for did not come. */
    boolean isSuspected(ServerStart server) {
        return suspected.contains(server);
    }

    /** Takes in that a grant got no answer. */
    void noteUnanswered(RangeHold hold, long nowMillis) {
        suspected.add(hold.owner);
        long since = hold.unansweredSinceMillis.orElse(nowMillis);
        hold.unansweredSinceMillis = Optional.of(since);
        if (nowMillis - since >= SILENCE_MILLIS) {
            silentUntilMillis.merge(hold.owner, hold.ownerHeldUntilMillis + SILENT_REST_MILLIS, Math::max);
        }
    }

    void noteEnded(ServerStart server) {
        ended.add(server);
    }

    void forgetBefore(long nowMillis) {
        silentUntilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /** Tells whether grants to a server would only delay the takeover of its keys. */
    boolean isSilentOrEnded(ServerStart server) {
        return silentUntilMillis.containsKey(server) || ended.contains(server);
    }

    /** Tells whether a life of a server is over: its address has another server, or it started anew. */
    boolean hasEnded(ServerStart server, ServiceView view) {
        return ended.contains(server) || startedAnew(server, view);
    }

    private static boolean startedAnew(ServerStart server, ServiceView view) {
        return view != null
                && view.registered().stream()
                        .anyMatch(start -> start.server().equals(server.server())
                                && start.startedUnixMillis() > server.startedUnixMillis());
    }
}

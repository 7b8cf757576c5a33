package org.lacewingthread.core.keyrange;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * Tracks which servers do not answer the leader's grants and which have ended. A {@link ServerStart}
 * is one run of a server process; after a restart it has ended, even if the server keeps its id, but calls that were
 * meant for it may reach the next one. The silence of a server counts only while this VM's links to other servers work.
 */
final class ServerLiveness {
    /** Time since the first unanswered grant after which no more are sent, so that the hold expires. */
    private static final long UNRESPONSIVE_AFTER_MILLIS = 900;
    /** Time after the end of its last hold for which an unresponsive server gets no grants. */
    private static final long UNRESPONSIVE_EXCLUSION_MILLIS = 3_000;

    private final Set<ServerStart> ended = new HashSet<>();
    private final Map<ServerStart, Long> unresponsiveUntilMillis = new HashMap<>();
    private final Set<ServerStart> suspected = new HashSet<>();
    private final Set<ServerStart> restarted = new HashSet<>();
    private final ServerLinks serverLinks;

    ServerLiveness(ServerLinks serverLinks) {
        this.serverLinks = serverLinks;
    }

    /**
     * Records what the outcome of a grant shows of the owner; a refused grant shows nothing.
     *
     * @param sentMillis when the grant was sent
     * @param heldUntilMillis time after which none of the owner's grants for the range can be in force
     */
    void recordGrantOutcome(
            RangeHold hold, GrantOutcome outcome, long sentMillis, long heldUntilMillis, long nowMillis) {
        if (outcome.isGranted()) {
            unresponsiveUntilMillis.remove(hold.owner);
            suspected.remove(hold.owner);
        } else if (outcome == GrantOutcome.SERVER_REPLACED) {
            recordEnded(hold.owner);
        } else if (!outcome.isAnswer()) {
            recordUnansweredGrant(hold, sentMillis, heldUntilMillis, nowMillis);
        }
    }

    /** Returns whether a server left a grant unanswered and has accepted none since. */
    boolean isSuspected(ServerStart server) {
        return suspected.contains(server);
    }

    private void recordUnansweredGrant(RangeHold hold, long sentMillis, long heldUntilMillis, long nowMillis) {
        suspected.add(hold.owner);
        if (!serverLinks.workedAt(sentMillis)) {
            hold.unansweredSinceMillis = Optional.empty();
            return;
        }
        long since = hold.unansweredSinceMillis.orElse(nowMillis);
        hold.unansweredSinceMillis = Optional.of(since);
        if (nowMillis - since >= UNRESPONSIVE_AFTER_MILLIS) {
            unresponsiveUntilMillis.merge(hold.owner, heldUntilMillis + UNRESPONSIVE_EXCLUSION_MILLIS, Math::max);
        }
    }

    void recordEnded(ServerStart server) {
        ended.add(server);
    }

    void removeExpired(long nowMillis) {
        unresponsiveUntilMillis.values().removeIf(until -> until <= nowMillis);
    }

    /** Returns whether a server gets no grants because they would only delay the takeover of its keys. */
    boolean isUnresponsiveOrEnded(ServerStart server) {
        return unresponsiveUntilMillis.containsKey(server) || ended.contains(server);
    }

    /** Returns whether a start has ended and gets no more calls, since another server answered at its address. */
    boolean hasEnded(ServerStart server) {
        return ended.contains(server);
    }

    /**
     * Records that the registry has a later start of a server with the same id. Its calls go to the later start, so an
     * earlier silence tells nothing of it.
     */
    void recordRestart(ServerStart server) {
        if (restarted.add(server)) {
            unresponsiveUntilMillis.remove(server);
        }
    }

    /** Returns whether the registry has a later start of a server. */
    static boolean hasRestarted(ServerStart server, ServiceView view) {
        return view != null
                && view.registered().stream()
                        .anyMatch(start -> start.server().equals(server.server())
                                && start.startedUnixMillis() > server.startedUnixMillis());
    }
}

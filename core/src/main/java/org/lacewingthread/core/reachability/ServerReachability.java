package org.lacewingthread.core.reachability;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ServerStart;

/**
 * Judges whether this entry VM has lost its links to all backend servers. A server that does not answer may be down; if
 * several servers in a row do not answer, and none answers meanwhile, this VM's own links are the likelier cause.
 *
 * <pre>{@code
 * reachability.onAnswer(server, nowMillis);
 * reachability.onNoAnswer(other, startedMillis, nowMillis);
 * if (reachability.isCutOff(nowMillis)) { ... }
 * }</pre>
 *
 * <p>Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class ServerReachability {
    /** Servers that must fail to answer in a row, or all known ones if there are fewer. */
    private static final int MIN_FAILED_SERVERS = 3;
    /** Shortest time without any answer; servers of one rack may go down at the same moment. */
    private static final long MIN_SILENCE_MILLIS = 250;
    /** How long an answer, or its lack, tells whether a server is reachable. */
    private static final long VALIDITY_MILLIS = 2_000;

    private final Map<ServerStart, Long> answeredAtMillis = new HashMap<>();
    private final Map<ServerStart, Long> failedAtMillis = new HashMap<>();
    private final Set<ServerStart> failedSinceAnswer = new HashSet<>();
    private Set<ServerStart> knownServers = Set.of();
    private long lastAnswerMillis = Long.MIN_VALUE / 2;

    /** Sets the servers that are known; what other servers did is forgotten. */
    public void onKnownServers(Set<ServerStart> servers) {
        knownServers = Set.copyOf(servers);
        answeredAtMillis.keySet().retainAll(knownServers);
        failedAtMillis.keySet().retainAll(knownServers);
        failedSinceAnswer.retainAll(knownServers);
    }

    /** Records that a server accepted a connection or answered a call, whatever the answer. */
    public void onAnswer(ServerStart server, long nowMillis) {
        answeredAtMillis.put(server, nowMillis);
        failedAtMillis.remove(server);
        lastAnswerMillis = Math.max(lastAnswerMillis, nowMillis);
        failedSinceAnswer.clear();
    }

    /**
     * Records that a server refused a connection or did not answer in time. If another server has answered since the call
     * was started, this says nothing of this VM's links.
     *
     * @param startedMillis when the call was started
     */
    public void onNoAnswer(ServerStart server, long startedMillis, long nowMillis) {
        failedAtMillis.put(server, nowMillis);
        if (startedMillis >= lastAnswerMillis) {
            failedSinceAnswer.add(server);
        }
    }

    /** Returns whether this VM reaches no server; stays true until a server answers. */
    public boolean isCutOff(long nowMillis) {
        int required = Math.min(MIN_FAILED_SERVERS, knownServers.size());
        return required > 0
                && failedSinceAnswer.size() >= required
                && nowMillis - lastAnswerMillis >= MIN_SILENCE_MILLIS;
    }

    /** Returns the number of servers that have not answered since any server did. */
    public int failedCount() {
        return failedSinceAnswer.size();
    }

    /** Returns the number of servers that answered of late. */
    public int answeredCount(long nowMillis) {
        answeredAtMillis.values().removeIf(at -> nowMillis - at > VALIDITY_MILLIS);
        return answeredAtMillis.size();
    }

    /** Returns the number of servers that did not answer of late. */
    public int silentCount(long nowMillis) {
        failedAtMillis.values().removeIf(at -> nowMillis - at > VALIDITY_MILLIS);
        return failedAtMillis.size();
    }

    /** Returns when any server last answered; far in the past if none did. */
    public long lastAnswerMillis() {
        return lastAnswerMillis;
    }
}

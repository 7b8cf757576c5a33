package org.lacewingthread.core.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * Folds the registry's changes into the set of known servers. An entry that lapsed while the registry
 * was out of reach is kept for a grace period after it is back, because a live server registers again
 * within that time.
 *
 * <pre>{@code
 * registry.onReachable(nowMillis);
 * registry.put(entry, nowMillis);
 * List<KnownServer> servers = registry.servers(nowMillis);
 * }</pre>
 */
public final class ServerRegistry {
    /** Failed reads over this time count as an outage of the registry. */
    private static final long MIN_OUTAGE_MILLIS = 1_000;

    /** How long a server without entry may still get requests for keys that it owns; half a drain. */
    private static final long REMOVED_RETENTION_MILLIS = 1_000;

    private final long lapseGraceMillis;
    private final Map<ServerId, KnownServer> servers = new TreeMap<>();
    private Optional<Long> unreachableSinceMillis = Optional.of(Long.MIN_VALUE / 2);
    private long graceUntilMillis = Long.MIN_VALUE / 2;

    /**
     * A server and since when it is leaving.
     *
     * @param entry newest entry
     * @param leavingSinceMillis when its drain or the loss of its entry was first seen; empty while it
     *     stays
     * @param removeAtMillis when it is forgotten unless it registers again; empty while registered
     */
    public record KnownServer(ServerEntry entry, Optional<Long> leavingSinceMillis, Optional<Long> removeAtMillis) {
        /** Returns the server's current life. */
        public ServerStart start() {
            return entry.start();
        }

        /** Returns the same server with its times on another clock. */
        public KnownServer shiftedBy(long offsetMillis) {
            return new KnownServer(
                    entry,
                    leavingSinceMillis.map(at -> at + offsetMillis),
                    removeAtMillis.map(at -> at + offsetMillis));
        }

        /** Tells whether it takes new work. */
        public boolean isReady() {
            return leavingSinceMillis.isEmpty();
        }
    }

    /**
     * Creates an empty registry.
     *
     * @param lapseGraceMillis how long after an outage lapsed entries are kept
     */
    public ServerRegistry(long lapseGraceMillis) {
        this.lapseGraceMillis = lapseGraceMillis;
    }

    /** Notes that the registry answered. */
    public void onReachable(long nowMillis) {
        if (unreachableSinceMillis
                .filter(since -> nowMillis - since > MIN_OUTAGE_MILLIS)
                .isPresent()) {
            graceUntilMillis = nowMillis + lapseGraceMillis;
        }
        unreachableSinceMillis = Optional.empty();
    }

    /** Notes that the registry did not answer. */
    public void onUnreachable(long nowMillis) {
        unreachableSinceMillis = Optional.of(unreachableSinceMillis.orElse(nowMillis));
    }

    /** Takes in a new or changed entry. */
    public void put(ServerEntry entry, long nowMillis) {
        KnownServer known = servers.get(entry.start().server());
        boolean sameLife = known != null && known.start().equals(entry.start());
        Optional<Long> leavingSince = Optional.empty();
        if (entry.draining()) {
            leavingSince = sameLife && known.entry().draining() ? known.leavingSinceMillis() : Optional.of(nowMillis);
        }
        servers.put(entry.start().server(), new KnownServer(entry, leavingSince, Optional.empty()));
    }

    /** Takes in that a server's entry is gone. */
    public void remove(ServerId server, long nowMillis) {
        KnownServer known = servers.get(server);
        if (known == null || known.removeAtMillis().isPresent()) {
            return;
        }
        if (nowMillis < graceUntilMillis && !known.entry().draining()) {
            servers.put(
                    server, new KnownServer(known.entry(), known.leavingSinceMillis(), Optional.of(graceUntilMillis)));
            return;
        }
        Optional<Long> leavingSince = known.leavingSinceMillis().or(() -> Optional.of(nowMillis));
        servers.put(
                server,
                new KnownServer(known.entry(), leavingSince, Optional.of(nowMillis + REMOVED_RETENTION_MILLIS)));
    }

    /** Takes in a whole listing: servers that it lacks are gone. */
    public void replaceAll(List<ServerEntry> entries, long nowMillis) {
        List<ServerId> listed =
                entries.stream().map(entry -> entry.start().server()).toList();
        entries.forEach(entry -> put(entry, nowMillis));
        new ArrayList<>(servers.keySet())
                .stream().filter(id -> !listed.contains(id)).forEach(id -> remove(id, nowMillis));
    }

    /** Returns the known servers, ordered by id, without those whose grace ran out. */
    public List<KnownServer> servers(long nowMillis) {
        servers.values()
                .removeIf(known ->
                        known.removeAtMillis().filter(at -> at <= nowMillis).isPresent());
        return List.copyOf(servers.values());
    }
}

package org.lacewingthread.core.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * The known servers, kept up to date by the changes that the platform's registry reports. An entry that
 * is removed soon after an outage of the registry is kept for a grace period, because it may have
 * expired during the outage, and a live server registers again within that time.
 *
 * <pre>{@code
 * registry.onReachable(nowMillis);
 * registry.put(entry, nowMillis);
 * List<KnownServer> servers = registry.servers(nowMillis);
 * }</pre>
 */
public final class ServerRegistry {
    /** Time without a successful read from which the registry counts as having had an outage. */
    private static final long MIN_OUTAGE_MILLIS = 1_000;

    /** Time for which a server without entry may still get requests for its keys; half of a drain. */
    private static final long REMOVED_RETENTION_MILLIS = 1_000;

    private final long outageGraceMillis;
    private final Map<ServerId, KnownServer> servers = new TreeMap<>();
    private Optional<Long> unreachableSinceMillis = Optional.of(Long.MIN_VALUE / 2);
    private long graceUntilMillis = Long.MIN_VALUE / 2;
    private long currentAsOfMillis = Long.MIN_VALUE / 2;

    /**
     * A server with the times at which it started to leave and is to be dropped.
     *
     * @param entry newest entry
     * @param leavingSinceMillis when its drain or the removal of its entry was first seen; empty if it is
     *     not leaving
     * @param removeAtMillis when it is dropped unless it registers again; empty while it has an entry
     */
    public record KnownServer(ServerEntry entry, Optional<Long> leavingSinceMillis, Optional<Long> removeAtMillis) {
        /** Returns the server's current start: its id and the start time of its process. */
        public ServerStart start() {
            return entry.start();
        }

        /** Returns the same server with its times shifted to another clock. */
        public KnownServer shiftedBy(long offsetMillis) {
            return new KnownServer(
                    entry,
                    leavingSinceMillis.map(at -> at + offsetMillis),
                    removeAtMillis.map(at -> at + offsetMillis));
        }

        /** Returns whether the server takes new requests. */
        public boolean isReady() {
            return leavingSinceMillis.isEmpty();
        }
    }

    /**
     * Creates a view without known servers; the registry counts as unreachable until it answers.
     *
     * @param outageGraceMillis time after an outage until which entries that are removed are kept
     */
    public ServerRegistry(long outageGraceMillis) {
        this.outageGraceMillis = outageGraceMillis;
    }

    /** Records that the registry answered; after an outage, the grace period starts. */
    public void onReachable(long nowMillis) {
        if (unreachableSinceMillis
                .filter(since -> nowMillis - since > MIN_OUTAGE_MILLIS)
                .isPresent()) {
            graceUntilMillis = nowMillis + outageGraceMillis;
        }
        unreachableSinceMillis = Optional.empty();
    }

    /** Records that the registry did not answer. */
    public void onUnreachable(long nowMillis) {
        unreachableSinceMillis = Optional.of(unreachableSinceMillis.orElse(nowMillis));
    }

    /**
     * Records that every change which the registry accepted up to a time is known here. Earlier times than the newest
     * one have no effect.
     */
    public void onCurrent(long asOfMillis) {
        currentAsOfMillis = Math.max(currentAsOfMillis, asOfMillis);
    }

    /** Returns the newest time up to which all changes are known; far in the past before the first listing. */
    public long currentAsOfMillis() {
        return currentAsOfMillis;
    }

    /** Adds a new entry, or replaces the entry of the same server. */
    public void put(ServerEntry entry, long nowMillis) {
        KnownServer known = servers.get(entry.start().server());
        boolean sameStart = known != null && known.start().equals(entry.start());
        Optional<Long> leavingSince = Optional.empty();
        if (entry.draining()) {
            leavingSince = sameStart && known.entry().draining() ? known.leavingSinceMillis() : Optional.of(nowMillis);
        }
        servers.put(entry.start().server(), new KnownServer(entry, leavingSince, Optional.empty()));
    }

    /** Records that a server has no entry any more; it is dropped unless it registers again in time. */
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

    /** Applies a complete listing: adds its entries and removes the servers that it doesn't contain. */
    public void replaceAll(List<ServerEntry> entries, long nowMillis) {
        List<ServerId> listed =
                entries.stream().map(entry -> entry.start().server()).toList();
        entries.forEach(entry -> put(entry, nowMillis));
        new ArrayList<>(servers.keySet())
                .stream().filter(id -> !listed.contains(id)).forEach(id -> remove(id, nowMillis));
    }

    /** Drops the removed servers whose time is over and returns the others, ordered by id. */
    public List<KnownServer> servers(long nowMillis) {
        servers.values()
                .removeIf(known ->
                        known.removeAtMillis().filter(at -> at <= nowMillis).isPresent());
        return List.copyOf(servers.values());
    }
}

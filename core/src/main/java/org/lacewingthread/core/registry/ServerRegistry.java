package org.lacewingthread.core.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;

/**
 * The known servers, kept up to date by the changes that the platform's registry reports. An entry that
 * is removed soon after an outage of the registry is kept for a grace period, because it may have
 * expired during the outage, and a live server registers again within that time.
 *
 * <p>A server that leaves is dated back to the last time at which it was known to stay, since the registry may have
 * accepted its drain right after that.
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

    /** How long a server without entry is listed. */
    private static final long REMOVED_RETENTION_MILLIS = 1_000;
    /** Longest time assumed from the sending of a request until it arrives, also from a busy entry VM, in milliseconds. */
    public static final long MAX_DELIVERY_MILLIS = 250;

    private final RegistryFreshness freshness;
    private final long outageGraceMillis;
    private final long drainMillis;
    /** How long the announcement of a server that has no entry is kept, since it may register again. */
    private static final long ANNOUNCEMENT_RETENTION_MILLIS = 600_000;

    private final Map<ServerId, KnownServer> servers = new TreeMap<>();
    /** Ends of the requests to servers that said themselves that they leave; an entry does not take that back. */
    private final Map<ServerStart, Long> announcedEndMillis = new HashMap<>();

    /** Starts that count as cold whatever their entries say, and the time of the view whose entry decides again. */
    private final Map<ServerStart, Long> coldUntilAsOfMillis = new HashMap<>();

    private Optional<Long> unreachableSinceMillis = Optional.of(Long.MIN_VALUE / 2);
    private long graceUntilMillis = Long.MIN_VALUE / 2;
    private long currentAsOfMillis = Long.MIN_VALUE / 2;
    /** Data centres whose servers count as cold, with the times up to which the registry must be known before that ends. */
    private final Map<DataCentreId, Long> coldDataCentreUntilAsOfMillis = new HashMap<>();

    /**
     * A server with the times at which it started to leave and is to be dropped.
     *
     * @param entry newest entry
     * @param acceptsUntilMillis until when requests for its keys may be sent to it; empty if it is not leaving
     * @param removeAtMillis when it is dropped unless it registers again; empty while it has an entry
     * @param evacuated whether it leaves because its data centre is evacuated, while its entry still exists
     */
    public record KnownServer(
            ServerEntry entry, Optional<Long> acceptsUntilMillis, Optional<Long> removeAtMillis, boolean evacuated) {
        /** Creates a server whose data centre is not evacuated. */
        public KnownServer(ServerEntry entry, Optional<Long> acceptsUntilMillis, Optional<Long> removeAtMillis) {
            this(entry, acceptsUntilMillis, removeAtMillis, false);
        }

        /** Returns the server's current start: its id and the start time of its process. */
        public ServerStart start() {
            return entry.start();
        }

        /** Returns the same server with its times shifted to another clock. */
        public KnownServer shiftedBy(long offsetMillis) {
            return new KnownServer(
                    entry,
                    acceptsUntilMillis.map(at -> at + offsetMillis),
                    removeAtMillis.map(at -> at + offsetMillis),
                    evacuated);
        }

        /**
         * Returns the same server in an evacuated data centre.
         *
         * @param deadlineMillis until when it gets requests for its keys, unless it leaves earlier itself
         */
        public KnownServer evacuatedUntil(long deadlineMillis) {
            boolean hasEntry = removeAtMillis.isEmpty() || isReady();
            long earlierMillis = Math.min(deadlineMillis, acceptsUntilMillis.orElse(deadlineMillis));
            return new KnownServer(entry, Optional.of(earlierMillis), removeAtMillis, hasEntry);
        }

        /** Returns whether the server takes new requests. */
        public boolean isReady() {
            return acceptsUntilMillis.isEmpty();
        }

        /** Returns whether a request for one of its keys may be sent to it now. */
        public boolean acceptsOwnedKeys(long nowMillis) {
            return acceptsUntilMillis.map(until -> nowMillis < until).orElse(true);
        }
    }

    /**
     * Creates a view without known servers; the registry counts as unreachable until it answers.
     *
     * @param outageGraceMillis time after an outage until which entries that are removed are kept
     * @param drainMillis time from a server's drain, or the removal of its entry, after which no request may arrive
     */
    public ServerRegistry(long outageGraceMillis, long drainMillis) {
        this(outageGraceMillis, drainMillis, new RegistryFreshness(drainMillis, () -> 0, () -> 0));
    }

    /** Creates the same view, whose age a freshness tells to other threads. */
    public ServerRegistry(long outageGraceMillis, long drainMillis, RegistryFreshness freshness) {
        this.freshness = freshness;
        this.outageGraceMillis = outageGraceMillis;
        this.drainMillis = drainMillis;
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
        freshness.onStoreSilent();
    }

    /**
     * Records that every change which the registry accepted up to a time is known here. Earlier times than the newest
     * one have no effect.
     */
    public void onCurrent(long asOfMillis) {
        currentAsOfMillis = Math.max(currentAsOfMillis, asOfMillis);
        freshness.onCurrent(asOfMillis);
    }

    /** Returns the newest time up to which all changes are known; far in the past before the first listing. */
    public long currentAsOfMillis() {
        return currentAsOfMillis;
    }

    /** Adds a new entry, or replaces the entry of the same server. */
    public void put(ServerEntry entry) {
        KnownServer known = servers.get(entry.start().server());
        boolean sameStart = known != null && known.start().equals(entry.start());
        Optional<Long> acceptsUntil = Optional.empty();
        if (entry.draining()) {
            acceptsUntil =
                    Optional.of(sameStart ? known.acceptsUntilMillis().orElse(endOfNewDrain()) : endOfNewDrain());
        }
        servers.put(entry.start().server(), new KnownServer(entry, acceptsUntil, Optional.empty()));
    }

    /** Returns the last time for requests to a server that may have begun to leave right after the last known state. */
    private long endOfNewDrain() {
        return currentAsOfMillis + drainMillis - MAX_DELIVERY_MILLIS;
    }

    /**
     * Records that a server said itself that it leaves. Only a new start of it ends that; of this time and that of its
     * entry the earlier one holds.
     *
     * @param announcedMillis when its answer arrived
     * @return whether that was not known
     */
    public boolean onLeavingAnnounced(ServerStart server, long announcedMillis) {
        return announcedEndMillis.putIfAbsent(server, announcedMillis + drainMillis - MAX_DELIVERY_MILLIS) == null;
    }

    /**
     * Counts a start of a server as cold, since it may have restarted without an entry that says so. This ends when all
     * changes up to a time are known; from then on the server's entry decides. The later of several times holds.
     *
     * @param untilAsOfMillis time up to which all changes must be known
     * @return whether the start was not suspected before
     */
    public boolean suspectCold(ServerStart server, long untilAsOfMillis) {
        Long former = coldUntilAsOfMillis.get(server);
        coldUntilAsOfMillis.merge(server, untilAsOfMillis, Math::max);
        return former == null;
    }

    private KnownServer withSuspicion(KnownServer known) {
        boolean suspected = coldUntilAsOfMillis.containsKey(known.start())
                || coldDataCentreUntilAsOfMillis.containsKey(known.entry().dataCentre());
        return suspected
                ? new KnownServer(known.entry().asCold(), known.acceptsUntilMillis(), known.removeAtMillis())
                : known;
    }

    private KnownServer withAnnouncedEnd(KnownServer known) {
        Long announced = announcedEndMillis.get(known.start());
        if (announced == null) {
            return known;
        }
        long earlier = Math.min(announced, known.acceptsUntilMillis().orElse(announced));
        return new KnownServer(known.entry(), Optional.of(earlier), known.removeAtMillis());
    }

    /**
     * Lets the servers of a data centre count as cold until the registry is known up to a time, whatever their entries
     * say before: entries that were written before an evacuation ended don't tell that a server became cold.
     *
     * @param untilAsOfMillis time from which on the servers' entries count again
     */
    public void suspectCold(DataCentreId dataCentre, long untilAsOfMillis) {
        coldDataCentreUntilAsOfMillis.merge(dataCentre, untilAsOfMillis, Math::max);
    }

    /** Records that a server has no entry any more; it is dropped unless it registers again in time. */
    public void remove(ServerId server, long nowMillis) {
        KnownServer known = servers.get(server);
        if (known == null || known.removeAtMillis().isPresent()) {
            return;
        }
        if (nowMillis < graceUntilMillis && !known.entry().draining()) {
            servers.put(
                    server, new KnownServer(known.entry(), known.acceptsUntilMillis(), Optional.of(graceUntilMillis)));
            return;
        }
        Optional<Long> acceptsUntil = known.acceptsUntilMillis().or(() -> Optional.of(endOfNewDrain()));
        servers.put(
                server,
                new KnownServer(known.entry(), acceptsUntil, Optional.of(nowMillis + REMOVED_RETENTION_MILLIS)));
    }

    /** Applies a complete listing: adds its entries and removes the servers that it doesn't contain. */
    public void replaceAll(List<ServerEntry> entries, long nowMillis) {
        List<ServerId> listed =
                entries.stream().map(entry -> entry.start().server()).toList();
        entries.forEach(this::put);
        new ArrayList<>(servers.keySet())
                .stream().filter(id -> !listed.contains(id)).forEach(id -> remove(id, nowMillis));
    }

    /** Drops the removed servers whose time is over and returns the others, ordered by id. */
    public List<KnownServer> servers(long nowMillis) {
        servers.values()
                .removeIf(known ->
                        known.removeAtMillis().filter(at -> at <= nowMillis).isPresent());
        announcedEndMillis.values().removeIf(end -> nowMillis - end > ANNOUNCEMENT_RETENTION_MILLIS);
        coldUntilAsOfMillis.values().removeIf(until -> currentAsOfMillis >= until);
        coldDataCentreUntilAsOfMillis.values().removeIf(until -> currentAsOfMillis >= until);
        return servers.values().stream()
                .map(this::withAnnouncedEnd)
                .map(this::withSuspicion)
                .toList();
    }
}

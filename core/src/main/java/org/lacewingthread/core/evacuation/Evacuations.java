package org.lacewingthread.core.evacuation;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

/**
 * The evacuated data centres as far as this entry VM knows them. Their servers leave as draining ones do: they get no
 * requests without a key, and requests for keys that they own until a deadline.
 *
 * <p>The deadline counts from the last view that did not hold the evacuation, since the store may have accepted it right
 * after that view, however late this VM learnt of it.
 *
 * <pre>{@code
 * evacuations.onCurrent(asOfMillis);       // every evacuation that the store accepted up to a time is known
 * evacuations.begin(dataCentre, nowMillis);
 * List<KnownServer> servers = evacuations.applyTo(registry.servers(nowMillis));
 * }</pre>
 *
 * <p>Times are milliseconds of the clock of the registry's times. Not safe for use by several threads.
 */
public final class Evacuations {
    /** Share of the time until the deadline over which the servers begin to hand over their keys; the rest is for the last. */
    private static final double HANDOVER_SHARE = 0.5;
    /** Groups of servers that hand over one after the other; each takes an append to the store. */
    private static final int HANDOVER_GROUPS = 5;

    private final long evacuateMillis;
    private final RegistryFreshness freshness;
    private final Map<DataCentreId, Evacuation> evacuations = new TreeMap<>();
    private long currentAsOfMillis = Long.MIN_VALUE / 2;

    /**
     * An evacuation.
     *
     * @param begunMillis when this VM learnt of it
     * @param acceptsUntilMillis until when owners of keys get requests for them
     */
    private record Evacuation(long begunMillis, long acceptsUntilMillis) {
        /** Returns whether a group of servers is not to hand over its keys yet. */
        boolean keepsKeys(int group, long nowMillis) {
            double handoverMillis = Math.max(0, acceptsUntilMillis - begunMillis) * HANDOVER_SHARE;
            return nowMillis < begunMillis + handoverMillis * group / HANDOVER_GROUPS;
        }
    }

    /**
     * Creates a view without evacuations.
     *
     * @param evacuateMillis time from the store's acceptance of an evacuation after which no request may arrive
     * @param freshness tells other threads the age of this view
     */
    public Evacuations(long evacuateMillis, RegistryFreshness freshness) {
        this.evacuateMillis = evacuateMillis;
        this.freshness = freshness;
    }

    /** Records that a data centre is evacuated; returns whether that was not known. */
    public boolean begin(DataCentreId dataCentre, long nowMillis) {
        long endMillis = currentAsOfMillis + evacuateMillis - ServerRegistry.MAX_DELIVERY_MILLIS;
        return evacuations.putIfAbsent(dataCentre, new Evacuation(nowMillis, endMillis)) == null;
    }

    /** Records that a data centre is not evacuated any more; returns whether it was. */
    public boolean end(DataCentreId dataCentre) {
        return evacuations.remove(dataCentre) != null;
    }

    /**
     * Records that every evacuation is known that the store accepted up to a time. To be called after the changes that
     * a read brought; a time that is not newer than the newest one has no effect.
     */
    public void onCurrent(long asOfMillis) {
        if (asOfMillis > currentAsOfMillis) {
            currentAsOfMillis = asOfMillis;
            freshness.onCurrent(asOfMillis);
        }
    }

    /** Records that the store left a read of the evacuations unanswered, or refused it. */
    public void onStoreSilent() {
        freshness.onStoreSilent();
    }

    /** Returns the newest time up to which all evacuations are known; far in the past before the first view. */
    public long currentAsOfMillis() {
        return currentAsOfMillis;
    }

    /** Returns the evacuated data centres. */
    public Set<DataCentreId> dataCentres() {
        return Set.copyOf(evacuations.keySet());
    }

    /** Returns until when owners of keys in a data centre get requests for them; empty if it is not evacuated. */
    public Optional<Long> acceptsUntilMillis(DataCentreId dataCentre) {
        return Optional.ofNullable(evacuations.get(dataCentre)).map(Evacuation::acceptsUntilMillis);
    }

    /** Returns the servers with those in evacuated data centres as leaving; of two deadlines the earlier one holds. */
    public List<KnownServer> applyTo(List<KnownServer> servers) {
        if (evacuations.isEmpty()) {
            return servers;
        }
        return servers.stream()
                .map(server -> acceptsUntilMillis(server.entry().dataCentre())
                        .map(server::evacuatedUntil)
                        .orElse(server))
                .toList();
    }

    /**
     * Returns the servers that are not to hand over their keys yet, so that the handovers of a data centre are spread over
     * time and only part of its keys are moving at any moment.
     *
     * @param servers servers of one service, as {@link #applyTo} returned them
     */
    public Set<ServerStart> leavingLater(List<KnownServer> servers, long nowMillis) {
        Set<ServerStart> later = new HashSet<>();
        evacuations.forEach((dataCentre, evacuation) -> {
            List<KnownServer> leaving = servers.stream()
                    .filter(server -> server.evacuated()
                            && server.entry().dataCentre().equals(dataCentre)
                            && server.acceptsUntilMillis().equals(Optional.of(evacuation.acceptsUntilMillis())))
                    .toList();
            for (int i = 0; i < leaving.size(); i++) {
                if (evacuation.keepsKeys(i * HANDOVER_GROUPS / leaving.size(), nowMillis)) {
                    later.add(leaving.get(i).start());
                }
            }
        });
        return later;
    }

    /** Returns the servers in evacuated data centres to which nothing may be sent any more, not even orders. */
    public static Set<ServerStart> closed(List<KnownServer> servers, long nowMillis) {
        return servers.stream()
                .filter(server -> server.evacuated() && !server.acceptsOwnedKeys(nowMillis))
                .map(KnownServer::start)
                .collect(Collectors.toSet());
    }
}

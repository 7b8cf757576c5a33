package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import org.lacewingthread.core.evacuation.Evacuations;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.daemon.events.EventLog;

/** Applies the evacuations that the platform reports to the known servers, and logs them. Runs on the control thread. */
final class EvacuationControl implements Platform.EvacuationListener {
    /** Age of the view from which it no longer withholds requests, as a multiple of the time of an evacuation. */
    static final long MAX_WITHHOLDING_FACTOR = 2;
    /** Refreshes of a server's entry after an evacuation until it tells whether the server is cold. */
    private static final long ENTRY_REFRESHES = 2;
    /** Age that is logged before the first view of the evacuations, in milliseconds. */
    private static final long MAX_LOGGED_AGE_MILLIS = 1_000_000_000;

    private final RouterSettings.EvacuationTimes times;
    private final Evacuations evacuations;
    private final ServerRegistry registry;
    private final ControlClock clock;
    private final EventLog events;
    private final RouterMetrics metrics;
    private LongConsumer publisher = nowMillis -> {};
    private volatile int evacuatedCount;

    EvacuationControl(
            RouterSettings.EvacuationTimes times,
            RegistryFreshness freshness,
            ServerRegistry registry,
            ControlClock clock,
            EventLog events,
            RouterMetrics metrics) {
        this.times = times;
        this.evacuations = new Evacuations(times.evacuateMillis(), freshness);
        this.registry = registry;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
    }

    /** Sets what passes the changed servers on; it is called with the present time. */
    void setPublisher(LongConsumer newPublisher) {
        publisher = newPublisher;
    }

    /** Returns the number of evacuated data centres; may be called on any thread. */
    int evacuatedCount() {
        return evacuatedCount;
    }

    /** Returns the servers with those in evacuated data centres as leaving. */
    List<KnownServer> applyTo(List<KnownServer> servers) {
        return evacuations.applyTo(servers);
    }

    /** Returns a service's view with its servers that hand over later and those that get no orders any more. */
    ServiceView applyTo(ServiceView view, List<KnownServer> serversOfService, long nowMillis) {
        Set<ServerStart> later = evacuations.leavingLater(serversOfService, nowMillis);
        return view.withEvacuated(later, Evacuations.closed(serversOfService, nowMillis));
    }

    @Override
    public void onEvacuation(DataCentreId dataCentre) {
        long nowMillis = clock.nowMillis();
        if (!evacuations.begin(dataCentre, nowMillis)) {
            return;
        }
        events.write(
                "evacuation.known",
                "data_centre",
                dataCentre,
                "known_as_of_ago_ms",
                Math.min(MAX_LOGGED_AGE_MILLIS, nowMillis - evacuations.currentAsOfMillis()),
                "accepts_for_ms",
                Math.max(0, evacuations.acceptsUntilMillis(dataCentre).orElse(nowMillis) - nowMillis));
        List<KnownServer> servers = registry.servers(nowMillis);
        boolean known = servers.isEmpty()
                || servers.stream()
                        .anyMatch(server -> server.entry().dataCentre().equals(dataCentre));
        if (!known) {
            events.write("evacuation.unknown-data-centre", "data_centre", dataCentre);
            metrics.onUnknownDataCentre();
        }
        publish(nowMillis);
    }

    @Override
    public void onEvacuationEnded(DataCentreId dataCentre) {
        if (evacuations.end(dataCentre)) {
            long nowMillis = clock.nowMillis();
            registry.suspectCold(dataCentre, nowMillis + ENTRY_REFRESHES * times.entryIntervalMillis());
            events.write("evacuation.ended", "data_centre", dataCentre);
            publish(nowMillis);
        }
    }

    @Override
    public void onEvacuationsListed(Set<DataCentreId> dataCentres) {
        evacuations.dataCentres().stream()
                .filter(known -> !dataCentres.contains(known))
                .forEach(this::onEvacuationEnded);
        dataCentres.forEach(this::onEvacuation);
    }

    private void publish(long nowMillis) {
        evacuatedCount = evacuations.dataCentres().size();
        publisher.accept(nowMillis);
    }

    @Override
    public void onEvacuationsCurrent(long asOfMillis) {
        evacuations.onCurrent(asOfMillis);
    }

    @Override
    public void onEvacuationsUnreachable() {
        evacuations.onStoreSilent();
    }

    @Override
    public void onUnreadableEvacuation(String key) {
        events.write("evacuation.key-unreadable", "key", key);
        metrics.onUnreadableEvacuation();
    }
}

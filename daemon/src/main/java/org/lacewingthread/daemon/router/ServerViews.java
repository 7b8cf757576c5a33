package org.lacewingthread.daemon.router;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.lacewingthread.core.dispatch.SendGate;
import org.lacewingthread.core.explain.ViewAges;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.registry.RegistryFreshness;
import org.lacewingthread.core.registry.ServerRegistry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServiceSpec;
import org.lacewingthread.core.serving.ServingConfiguration;
import org.lacewingthread.daemon.events.EventLog;

/**
 * What this process knows of the servers: the registry, and the evacuated data centres where the deployment has them.
 * All but the gate runs on the control thread.
 */
final class ServerViews {
    /**
     * How long removed entries are kept after an outage of the registry. Servers whose entries expired during the
     * outage register again within about two seconds.
     */
    private static final long EXPIRED_ENTRY_GRACE_MILLIS = 2_000;

    private final ServerRegistry registry;
    private final Optional<EvacuationControl> evacuations;
    private final SendGate gate;
    private final RegistryFreshness freshness;
    private final Optional<RegistryFreshness> evacuationFreshness;

    ServerViews(
            RouterSettings settings,
            LongSupplier trafficClockMillis,
            ControlClock clock,
            EventLog events,
            RouterMetrics metrics) {
        freshness = new RegistryFreshness(settings.drainMillis(), trafficClockMillis, clock::nowMillis);
        registry = new ServerRegistry(EXPIRED_ENTRY_GRACE_MILLIS, settings.drainMillis(), freshness);
        BooleanSupplier registryIsCurrent =
                new RegistryGate(freshness, events, "registry.outdated", "registry.current-again");
        if (settings.evacuation().isEmpty()) {
            evacuations = Optional.empty();
            evacuationFreshness = Optional.empty();
            gate = new SendGate(registryIsCurrent, () -> true);
            return;
        }
        RouterSettings.EvacuationTimes times = settings.evacuation().get();
        RegistryFreshness ofEvacuations = new RegistryFreshness(
                times.evacuateMillis(),
                times.evacuateMillis() * EvacuationControl.MAX_WITHHOLDING_FACTOR,
                trafficClockMillis,
                clock::nowMillis);
        evacuationFreshness = Optional.of(ofEvacuations);
        evacuations = Optional.of(new EvacuationControl(times, ofEvacuations, registry, clock, events, metrics));
        gate = new SendGate(
                registryIsCurrent,
                new RegistryGate(ofEvacuations, events, "evacuations.outdated", "evacuations.current-again"));
    }

    /** Returns the registry, without evacuations. */
    ServerRegistry registry() {
        return registry;
    }

    /** Returns what is to be told of the evacuations; ignores them if the deployment has none. */
    Platform.EvacuationListener evacuationListener() {
        return evacuations.isPresent() ? evacuations.get() : Platform.IGNORED_EVACUATIONS;
    }

    /** Sets what passes servers on that an evacuation changed; it is called with the present time. */
    void setPublisher(LongConsumer publisher) {
        evacuations.ifPresent(control -> control.setPublisher(publisher));
    }

    /** Returns what decides on the traffic thread whether the ages of the views allow requests. */
    SendGate gate() {
        return gate;
    }

    /** Returns a gate with the same answers that logs nothing; may be called on any thread. */
    SendGate silentGate() {
        return new SendGate(
                freshness::allowsRequests,
                () -> evacuationFreshness.map(RegistryFreshness::allowsRequests).orElse(true));
    }

    /** Returns the ages of the views; may be called on any thread. */
    ViewAges ages() {
        return new ViewAges(
                freshness.knownAgeMillis(),
                evacuationFreshness.map(RegistryFreshness::knownAgeMillis).orElse(OptionalLong.empty()));
    }

    /** Returns the number of evacuated data centres; may be called on any thread. */
    int evacuatedCount() {
        return evacuations.map(EvacuationControl::evacuatedCount).orElse(0);
    }

    /** Returns the known servers, with those in evacuated data centres as leaving. */
    List<KnownServer> servers(long nowMillis) {
        List<KnownServer> registered = registry.servers(nowMillis);
        return evacuations.map(control -> control.applyTo(registered)).orElse(registered);
    }

    /** Returns the views of the keyed services, as the coordinator of their ranges needs them. */
    Map<ServiceId, ServiceView> ofKeyedServices(
            ServingConfiguration configuration,
            KeyspaceLoad load,
            List<KnownServer> servers,
            Map<ServerStart, Double> limitPerSecondByServer,
            long nowMillis) {
        Map<ServiceId, ServiceView> views = new TreeMap<>();
        for (ServiceSpec service : configuration.services().values()) {
            if (service.keyed()) {
                ServiceView view = load.view(service.id(), servers, limitPerSecondByServer, nowMillis);
                views.put(service.id(), withEvacuations(view, service.id(), servers, nowMillis));
            }
        }
        return views;
    }

    private ServiceView withEvacuations(
            ServiceView view, ServiceId service, List<KnownServer> servers, long nowMillis) {
        return evacuations
                .map(control -> control.applyTo(
                        view,
                        servers.stream()
                                .filter(server -> server.entry().service().equals(service))
                                .toList(),
                        nowMillis))
                .orElse(view);
    }
}

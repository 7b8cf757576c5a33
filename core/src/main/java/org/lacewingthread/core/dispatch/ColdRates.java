package org.lacewingthread.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;
import org.lacewingthread.core.serving.ServiceSpec;

/**
 * Rates that cold servers tolerate, by service.
 *
 * <pre>{@code
 * ColdRates rates = ColdRates.of(configuration.services().values(), rule);
 * rates.of(entry).ifPresent(perSecond -> { ... });  // the server is cold and its service has a rate
 * }</pre>
 *
 * @param perSecondByService requests a second; a service without an entry has no limit
 */
public record ColdRates(Map<ServiceId, Double> perSecondByService) {
    /** Rates of a deployment that limits no cold servers. */
    public static final ColdRates NONE = new ColdRates(Map.of());

    /**
     * Copies the map.
     *
     * @throws IllegalArgumentException if a rate is not a number above 0
     */
    public ColdRates {
        perSecondByService = Map.copyOf(perSecondByService);
        perSecondByService.forEach((service, perSecond) -> {
            if (!isUsable(perSecond)) {
                throw new IllegalArgumentException("cold servers of service \"" + service + "\" can't have the rate "
                        + perSecond + "; use a number above 0");
            }
        });
    }

    /** Returns the usable rates of some services, reduced where the rule's bound of one second requires it. */
    public static ColdRates of(Collection<ServiceSpec> services, ColdServerRule rule) {
        Map<ServiceId, Double> rates = new HashMap<>();
        services.forEach(service -> service.coldPerSecond().stream()
                .filter(ColdRates::isUsable)
                .forEach(perSecond -> rates.put(service.id(), rule.permittedPerSecond(perSecond))));
        return new ColdRates(rates);
    }

    /** Returns the services that state a rate which can't be used, and so are not limited. */
    public static List<ServiceSpec> unusable(Collection<ServiceSpec> services) {
        return services.stream()
                .filter(service -> service.coldPerSecond().isPresent())
                .filter(service -> !isUsable(service.coldPerSecond().getAsDouble()))
                .toList();
    }

    private static boolean isUsable(double perSecond) {
        return perSecond > 0 && Double.isFinite(perSecond);
    }

    /** Returns the rate of a server in requests a second; empty if it is not cold or its service has no rate. */
    public OptionalDouble of(ServerEntry entry) {
        Double perSecond = entry.cold() ? perSecondByService.get(entry.service()) : null;
        return perSecond == null ? OptionalDouble.empty() : OptionalDouble.of(perSecond);
    }

    /** Returns whether servers of a service are limited while they are cold. */
    public boolean limits(ServiceId service) {
        return perSecondByService.containsKey(service);
    }

    /** Returns limits with those of the cold servers added; where a server has both, the lower one. */
    public Map<ServerStart, Double> addTo(Map<ServerStart, Double> limitPerSecondByServer, List<KnownServer> servers) {
        if (perSecondByService.isEmpty()) {
            return limitPerSecondByServer;
        }
        Map<ServerStart, Double> all = new HashMap<>(limitPerSecondByServer);
        for (KnownServer server : servers) {
            of(server.entry()).ifPresent(perSecond -> all.merge(server.start(), perSecond, Math::min));
        }
        return all;
    }
}

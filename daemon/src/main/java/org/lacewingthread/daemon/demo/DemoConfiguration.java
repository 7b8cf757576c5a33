package org.lacewingthread.daemon.demo;

import java.util.List;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.KeySource;
import org.lacewingthread.core.config.Label;
import org.lacewingthread.core.config.PlacementProfile;
import org.lacewingthread.core.config.RequestClass;
import org.lacewingthread.core.config.RequestSelector;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.ApplicationId;

/** Routing configuration of the demo: an order ledger on the backend servers labelled {@code app=ledger}. */
final class DemoConfiguration {
    static final ApplicationId LEDGER = new ApplicationId("ledger");
    static final Label LEDGER_LABEL = new Label("app", "ledger");
    static final int SHARD_COUNT = 64;

    private static final KeySource KEY_SOURCE = new KeySource(KeySource.Kind.PATH_SEGMENT, "1");

    private DemoConfiguration() {}

    /** Returns the configuration with these backend servers. */
    static RoutingConfiguration of(List<ServerSpec> servers) {
        return new RoutingConfiguration(List.of(ledgerSpec(List.of(LEDGER_LABEL))), servers);
    }

    /** Returns the configuration in which one server has no labels and so leaves the group of the application. */
    static RoutingConfiguration withoutLabelsOf(List<ServerSpec> servers, String server) {
        List<ServerSpec> changed = servers.stream()
                .map(spec -> spec.id().value().equals(server) ? withoutLabels(spec) : spec)
                .toList();
        return of(changed);
    }

    private static ServerSpec withoutLabels(ServerSpec spec) {
        return new ServerSpec(
                spec.id(),
                spec.dataCentre(),
                spec.host(),
                spec.port(),
                List.of(),
                spec.slots(),
                spec.maxConnections(),
                spec.checksTokens(),
                spec.recognisesIdempotencyKeys());
    }

    private static ApplicationSpec ledgerSpec(List<Label> group) {
        return new ApplicationSpec(LEDGER, SHARD_COUNT, PlacementProfile.MINIMISE_UNAVAILABLE, group, selectors());
    }

    private static List<RequestSelector> selectors() {
        return List.of(
                new RequestSelector("lookups", List.of("GET"), "/rugs", RequestClass.LOOKUP, KEY_SOURCE),
                new RequestSelector("holds", List.of("POST"), "/holds", RequestClass.NON_REPEATABLE, KEY_SOURCE),
                new RequestSelector("history", List.of("GET"), "/history", RequestClass.DEFERRABLE, KEY_SOURCE));
    }
}

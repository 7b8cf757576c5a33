package org.lacewingthread.daemon.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.keyrange.ServiceView;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

class KeyspaceLoadTest {
    private static final ServiceId ORDERS = new ServiceId("orders");
    private static final List<KnownServer> SERVERS = List.of(server("s1"), server("s2"));
    private static final ServerStart FIRST = SERVERS.get(0).start();
    private static final ServerStart SECOND = SERVERS.get(1).start();

    private final KeyspaceLoad load = new KeyspaceLoad();

    private static KnownServer server(String id) {
        ServerEntry entry = new ServerEntry(
                new ServerStart(new ServerId(id), 1),
                ORDERS,
                "10.0.0.1",
                8080,
                new DataCentreId("maras"),
                2,
                false,
                false);
        return new KnownServer(entry, Optional.empty(), Optional.empty());
    }

    /** Lets 60 requests arrive within the window of 6 s: 10 a second. */
    @BeforeEach
    void recordRequests() {
        for (int i = 0; i < 60; i++) {
            load.recordKey(ORDERS, i * 1_000, 1_000);
        }
    }

    private Map<ServerStart, Double> capacities(Map<ServerStart, Double> limits) {
        return load.view(ORDERS, SERVERS, limits, 2_000).capacityByServer();
    }

    @Test
    void serversWithoutLimitHaveTheCapacityOfTheirSlots() {
        assertThat(capacities(Map.of())).containsEntry(FIRST, 2.0).containsEntry(SECOND, 2.0);
    }

    /** Guards against a limited server that keeps more keys than its limit can serve. */
    @Test
    void limitedServerGetsSevenTenthsOfItsLimit() {
        Map<ServerStart, Double> capacities = capacities(Map.of(FIRST, 1.0));
        double requestsPerCapacity = 10 / 4.0;
        assertThat(capacities.get(FIRST) * requestsPerCapacity).isCloseTo(0.7, Offset.offset(1e-9));
        assertThat(capacities).containsEntry(SECOND, 2.0);
    }

    @Test
    void limitAboveTheLoadChangesNothing() {
        assertThat(capacities(Map.of(FIRST, 100.0))).containsEntry(FIRST, 2.0);
    }

    @Test
    void serverThatTakesNothingKeepsALittleCapacity() {
        assertThat(capacities(Map.of(FIRST, 0.0)).get(FIRST)).isPositive().isLessThan(0.1);
    }

    /** Guards against owners in an evacuated data centre that count as gone and hand nothing over. */
    @Test
    void evacuatedServerStaysRegisteredAndGetsNoMoreKeys() {
        List<KnownServer> servers = List.of(SERVERS.get(0).evacuatedUntil(9_000), SERVERS.get(1));
        ServiceView view = load.view(ORDERS, servers, Map.of(), 2_000);
        assertThat(view.registered()).contains(FIRST);
        assertThat(view.capacityByServer()).containsOnlyKeys(SECOND);
    }
}

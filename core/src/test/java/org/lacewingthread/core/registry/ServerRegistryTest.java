package org.lacewingthread.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;

class ServerRegistryTest {
    private final ServerRegistry registry = new ServerRegistry(2_000, 2_000);

    private static ServerEntry entry(String id, long started, boolean draining) {
        return new ServerEntry(
                new ServerStart(new ServerId(id), started),
                new ServiceId("orders"),
                "10.0.0.1",
                8080,
                new DataCentreId("maras"),
                2,
                draining,
                false);
    }

    @BeforeEach
    void registerTwoServers() {
        registry.onReachable(0);
        registry.replaceAll(List.of(entry("a", 1, false), entry("b", 1, false)), 10_000);
    }

    @Test
    void drainingServerIsNotReadyAndKeepsTheTimeOfItsFirstDrainEntry() {
        registry.onCurrent(10_500);
        registry.put(entry("a", 1, true));
        registry.onCurrent(11_000);
        registry.put(entry("a", 1, true));
        assertThat(registry.servers(12_000).get(0).isReady()).isFalse();
        assertThat(registry.servers(12_000).get(0).acceptsUntilMillis()).contains(12_250L);
    }

    @Test
    void removedServerIsNotReadyAndIsDroppedAfterOneSecond() {
        registry.remove(new ServerId("a"), 11_000);
        assertThat(registry.servers(11_100).get(0).isReady()).isFalse();
        assertThat(registry.servers(12_100)).hasSize(1);
    }

    @Test
    void entriesRemovedAfterAnOutageAreKeptForTheGracePeriod() {
        registry.onUnreachable(11_000);
        registry.onUnreachable(15_000);
        registry.onReachable(16_000);
        registry.remove(new ServerId("a"), 16_000);
        assertThat(registry.servers(17_900)).hasSize(2).allMatch(ServerRegistry.KnownServer::isReady);
        assertThat(registry.servers(18_100)).hasSize(1);
    }

    @Test
    void entryRestoredWithinTheGracePeriodStays() {
        registry.onUnreachable(11_000);
        registry.onReachable(16_000);
        registry.remove(new ServerId("a"), 16_000);
        registry.put(entry("a", 1, false));
        assertThat(registry.servers(30_000)).hasSize(2);
    }

    @Test
    void singleFailedReadStartsNoGracePeriod() {
        registry.onUnreachable(11_000);
        registry.onReachable(11_300);
        registry.remove(new ServerId("a"), 11_400);
        assertThat(registry.servers(11_500).get(0).isReady()).isFalse();
    }

    @Test
    void restartedServerReplacesItsDrainingEntry() {
        registry.put(entry("a", 1, true));
        registry.put(entry("a", 2, false));
        assertThat(registry.servers(12_000).get(0).start().startedUnixMillis()).isEqualTo(2);
        assertThat(registry.servers(12_000).get(0).isReady()).isTrue();
    }

    /** Guards against full load on a server that restarted under its id and whose known entry is older than that. */
    @Test
    void suspectedServerCountsAsColdUntilAViewOfALaterTime() {
        ServerStart suspected = new ServerStart(new ServerId("a"), 1);
        assertThat(registry.suspectCold(suspected, 14_000)).isTrue();
        assertThat(registry.suspectCold(suspected, 13_000)).isFalse();
        registry.put(entry("a", 1, false));
        registry.onCurrent(13_999);
        assertThat(registry.servers(20_000).get(0).entry().cold()).isTrue();
        assertThat(registry.servers(20_000).get(1).entry().cold()).isFalse();
        registry.onCurrent(14_000);
        assertThat(registry.servers(20_000).get(0).entry().cold()).isFalse();
    }
}

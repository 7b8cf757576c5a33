package org.lacewingthread.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ServerStart;
import org.lacewingthread.core.id.ServiceId;
import org.lacewingthread.core.registry.ServerEntry;
import org.lacewingthread.core.registry.ServerRegistry.KnownServer;

class ServerSubsetTest {
    private static final int SERVERS = 72;

    private final List<ServerLoadState> servers =
            IntStream.range(0, SERVERS).mapToObj(ServerSubsetTest::server).toList();

    private static ServerLoadState server(int number) {
        ServerEntry entry = new ServerEntry(
                new ServerStart(new ServerId("s" + number), 1),
                new ServiceId("pool"),
                "10.0.0.1",
                8080,
                new DataCentreId("d" + number % 4),
                4,
                false,
                false);
        ServerLoadState state = new ServerLoadState(new KnownServer(entry, Optional.empty(), Optional.empty()));
        state.assumeServiceTime(550);
        return state;
    }

    private static ServerSubset subset(int vm, int vmCount) {
        ServerSubset subset = new ServerSubset(new DataCentreId("d" + vm % 4), new SplittableRandom(vm).nextLong());
        subset.setEntryVmCount(vmCount);
        return subset;
    }

    /** Load pattern: 70 VMs all choose the same best one of 72 servers by figures that are seconds old. */
    @Test
    void manyVmsUseSubsetsThatCoverTheServers() {
        Map<ServerLoadState, Integer> users = new HashMap<>();
        for (int vm = 0; vm < 70; vm++) {
            List<ServerLoadState> preferred = subset(vm, 70).of(servers);
            assertThat(preferred).hasSizeBetween(6, 10);
            preferred.forEach(state -> users.merge(state, 1, Integer::sum));
        }
        assertThat(users).hasSizeGreaterThan(SERVERS - 2);
        assertThat(users.values()).allMatch(count -> count < 20);
    }

    /** Guards against a server that leaves and changes the choice of VMs that did not use it. */
    @Test
    void lossOfAServerMovesOneChoiceAtMost() {
        List<ServerLoadState> others = servers.subList(1, SERVERS);
        for (int vm = 0; vm < 70; vm++) {
            List<ServerLoadState> after = subset(vm, 70).of(others);
            assertThat(subset(vm, 70).of(servers).stream().filter(state -> !after.contains(state)))
                    .hasSizeLessThan(2);
        }
    }

    /** Earlier deployments with few VMs are served as before. */
    @Test
    void fewVmsUseAllServers() {
        assertThat(subset(0, 12).of(servers)).hasSize(SERVERS);
    }
}

package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Cost of adding or removing one server under a {@link Baseline}. A baseline records no ownership changes, so the
 * new owner of a shard has to wait until the last dispatch lease under the old server list has expired.
 *
 * @param requiredMoves shards owned by the removed server; 0 if a server is added
 * @param movedShards shards whose owner changes
 * @param unavailableMillis time for which each moved shard is unavailable
 * @param imbalanceBefore load imbalance before the change
 * @param imbalanceAfter load imbalance after the change
 */
record BaselineComparison(
        long requiredMoves,
        long movedShards,
        long unavailableMillis,
        Imbalance imbalanceBefore,
        Imbalance imbalanceAfter) {
    static BaselineComparison of(Customer customer, Scenario scenario, Baseline baseline, double exponent, long seed) {
        boolean serverJoins = scenario == Scenario.SERVER_JOINED;
        RoutingConfiguration configuration = customer.configuration(serverJoins ? 1 : 0);
        Map<ServerId, DataCentreId> allServers = new LinkedHashMap<>();
        configuration
                .eligibleServers(
                        configuration.application(customer.firstApplication).orElseThrow())
                .forEach(s -> allServers.put(s.id(), s.dataCentre()));
        ServerId changedServer = List.copyOf(allServers.keySet()).get(serverJoins ? allServers.size() - 1 : 0);
        Map<ServerId, DataCentreId> otherServers = new LinkedHashMap<>(allServers);
        otherServers.remove(changedServer);
        Map<ServerId, DataCentreId> serversBefore = serverJoins ? otherServers : allServers;
        Map<ServerId, DataCentreId> serversAfter = serverJoins ? allServers : otherServers;
        Map<ShardId, ServerLoad.ShardLoad> loads =
                new ZipfLoad(customer.firstApplication, Customer.SHARDS, exponent, seed).loadByShard(null);
        Map<ShardId, ServerId> before = assignOwners(baseline, serversBefore, loads.keySet());
        Map<ShardId, ServerId> after = assignOwners(baseline, serversAfter, loads.keySet());
        long moved = loads.keySet().stream()
                .filter(s -> !before.get(s).equals(after.get(s)))
                .count();
        long requiredMoves =
                before.values().stream().filter(changedServer::equals).count();
        ControlSettings settings = ControlSettings.DEFAULT;
        long waitMillis = settings.lengthenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        long detectionMillis = scenario == Scenario.SERVER_LOST ? SimulatedEntryVm.LOSS_DETECTION_MILLIS : 0;
        return new BaselineComparison(
                requiredMoves,
                moved,
                detectionMillis + waitMillis,
                Imbalance.of(customer.firstApplication, serversBefore, before, loads),
                Imbalance.of(customer.firstApplication, serversAfter, after, loads));
    }

    private static Map<ShardId, ServerId> assignOwners(
            Baseline baseline, Map<ServerId, DataCentreId> servers, Set<ShardId> shards) {
        Baseline.Placement placement = baseline.placementOn(List.copyOf(servers.keySet()));
        Map<ShardId, ServerId> owners = new HashMap<>();
        shards.forEach(s -> owners.put(s, placement.serverOf(s)));
        return owners;
    }
}

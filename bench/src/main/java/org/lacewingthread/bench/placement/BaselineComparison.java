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
 * What a change of one server costs a {@link Baseline}. As it keeps no record of moves, the next owner of
 * a shard waits until the last dispatch lease under the old list of servers has run out.
 *
 * @param requiredMoves shards of the server that goes
 * @param movedShards shards that change owner
 * @param unavailableMillis time for which each of them is not served
 * @param imbalanceBefore imbalance before
 * @param imbalanceAfter imbalance after
 */
record BaselineComparison(
        long requiredMoves,
        long movedShards,
        long unavailableMillis,
        Imbalance imbalanceBefore,
        Imbalance imbalanceAfter) {
    static BaselineComparison of(Customer customer, Scenario scenario, Baseline baseline, double exponent, long seed) {
        boolean joins = scenario == Scenario.SERVER_JOINED;
        RoutingConfiguration configuration = customer.configuration(joins ? 1 : 0);
        Map<ServerId, DataCentreId> all = new LinkedHashMap<>();
        configuration
                .groupOf(configuration.application(customer.firstApplication).orElseThrow())
                .forEach(s -> all.put(s.id(), s.dataCentre()));
        ServerId changing = List.copyOf(all.keySet()).get(joins ? all.size() - 1 : 0);
        Map<ServerId, DataCentreId> fewer = new LinkedHashMap<>(all);
        fewer.remove(changing);
        Map<ServerId, DataCentreId> serversBefore = joins ? fewer : all;
        Map<ServerId, DataCentreId> serversAfter = joins ? all : fewer;
        Map<ShardId, ServerLoad.ShardLoad> loads =
                new ZipfLoad(customer.firstApplication, Customer.SHARDS, exponent, seed).loadByShard(null);
        Map<ShardId, ServerId> before = assignOwners(baseline, serversBefore, loads.keySet());
        Map<ShardId, ServerId> after = assignOwners(baseline, serversAfter, loads.keySet());
        long moved = loads.keySet().stream()
                .filter(s -> !before.get(s).equals(after.get(s)))
                .count();
        long hadTo = before.values().stream().filter(changing::equals).count();
        ControlSettings settings = ControlSettings.DEFAULT;
        long waitMillis = settings.lengthened(settings.dispatchLeaseMillis()) + settings.startByMillis();
        long noticeMillis = scenario == Scenario.SERVER_LOST ? SimulatedEntryVm.LOSS_DETECTION_MILLIS : 0;
        return new BaselineComparison(
                hadTo,
                moved,
                noticeMillis + waitMillis,
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

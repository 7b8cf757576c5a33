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
 * @param hadToMove shards of the server that goes
 * @param moved shards that change owner
 * @param unavailableMillis time for which each of them is not served
 * @param before imbalance before
 * @param after imbalance after
 */
record BaselineComparison(long hadToMove, long moved, long unavailableMillis, Imbalance before, Imbalance after) {
    static BaselineComparison of(Customer customer, Scenario scenario, Baseline baseline, double exponent, long seed) {
        boolean joins = scenario == Scenario.SERVER_JOINED;
        RoutingConfiguration configuration = customer.configuration(joins ? 1 : 0);
        Map<ServerId, DataCentreId> all = new LinkedHashMap<>();
        configuration
                .eligibleServers(configuration.application(customer.first).orElseThrow())
                .forEach(s -> all.put(s.id(), s.dataCentre()));
        ServerId changing = List.copyOf(all.keySet()).get(joins ? all.size() - 1 : 0);
        Map<ServerId, DataCentreId> fewer = new LinkedHashMap<>(all);
        fewer.remove(changing);
        Map<ServerId, DataCentreId> serversBefore = joins ? fewer : all;
        Map<ServerId, DataCentreId> serversAfter = joins ? all : fewer;
        Map<ShardId, ServerLoad.ShardLoad> loads =
                new ZipfLoad(customer.first, Customer.SHARDS, exponent, seed).byShard(null);
        Map<ShardId, ServerId> before = place(baseline, serversBefore, loads.keySet());
        Map<ShardId, ServerId> after = place(baseline, serversAfter, loads.keySet());
        long moved = loads.keySet().stream()
                .filter(s -> !before.get(s).equals(after.get(s)))
                .count();
        long hadTo = before.values().stream().filter(changing::equals).count();
        ControlSettings settings = ControlSettings.DEFAULT;
        long waitMillis = settings.lengthenedByClockMargin(settings.dispatchLeaseMillis()) + settings.startByMillis();
        long noticeMillis = scenario == Scenario.SERVER_LOST ? VirtualVm.NOTICE_MILLIS : 0;
        return new BaselineComparison(
                hadTo,
                moved,
                noticeMillis + waitMillis,
                Imbalance.of(customer.first, serversBefore, before, loads),
                Imbalance.of(customer.first, serversAfter, after, loads));
    }

    private static Map<ShardId, ServerId> place(
            Baseline baseline, Map<ServerId, DataCentreId> servers, Set<ShardId> shards) {
        Baseline.Placement placement = baseline.over(List.copyOf(servers.keySet()));
        Map<ShardId, ServerId> owners = new HashMap<>();
        shards.forEach(s -> owners.put(s, placement.of(s)));
        return owners;
    }
}

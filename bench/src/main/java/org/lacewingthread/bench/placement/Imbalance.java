package org.lacewingthread.bench.placement;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Load of the busiest server of an application over the mean of its servers.
 *
 * @param overallRatio over all data centres
 * @param worstDataCentreRatio within the data centre where it is highest
 */
record Imbalance(double overallRatio, double worstDataCentreRatio) {
    /** Adds up the load of each server. */
    static Imbalance of(
            ApplicationId application,
            Map<ServerId, DataCentreId> servers,
            Map<ShardId, ServerId> owners,
            Map<ShardId, ServerLoad.ShardLoad> loads) {
        Map<ServerId, Double> byServer = new HashMap<>();
        servers.keySet().forEach(s -> byServer.put(s, 0.0));
        owners.forEach((shard, server) -> {
            if (shard.application().equals(application) && loads.containsKey(shard) && servers.containsKey(server)) {
                byServer.merge(server, loads.get(shard).requestsPerSecond(), Double::sum);
            }
        });
        double worst = 0;
        for (DataCentreId dataCentre : Set.copyOf(servers.values())) {
            Map<ServerId, Double> here = new HashMap<>(byServer);
            here.keySet().removeIf(s -> !servers.get(s).equals(dataCentre));
            worst = Math.max(worst, ratio(here));
        }
        return new Imbalance(ratio(byServer), worst);
    }

    private static double ratio(Map<ServerId, Double> loads) {
        double max = loads.values().stream().mapToDouble(d -> d).max().orElse(0);
        double mean = loads.values().stream().mapToDouble(d -> d).average().orElse(1);
        return max / mean;
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%.2f, %.2f", overallRatio, worstDataCentreRatio);
    }
}

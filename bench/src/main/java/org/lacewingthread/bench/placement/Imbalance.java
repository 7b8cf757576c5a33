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
 * Ratio of the load of the busiest server of an application to the mean load of its servers.
 *
 * @param overallRatio ratio across all data centres
 * @param worstDataCentreRatio highest ratio within a single data centre
 */
record Imbalance(double overallRatio, double worstDataCentreRatio) {
    /** Returns the imbalance of an application whose shards have the given owners and loads. */
    static Imbalance of(
            ApplicationId application,
            Map<ServerId, DataCentreId> servers,
            Map<ShardId, ServerId> owners,
            Map<ShardId, ServerLoad.ShardLoad> loads) {
        Map<ServerId, Double> loadByServer = new HashMap<>();
        servers.keySet().forEach(s -> loadByServer.put(s, 0.0));
        owners.forEach((shard, server) -> {
            if (shard.application().equals(application) && loads.containsKey(shard) && servers.containsKey(server)) {
                loadByServer.merge(server, loads.get(shard).requestsPerSecond(), Double::sum);
            }
        });
        double worst = 0;
        for (DataCentreId dataCentre : Set.copyOf(servers.values())) {
            Map<ServerId, Double> inDataCentre = new HashMap<>(loadByServer);
            inDataCentre.keySet().removeIf(s -> !servers.get(s).equals(dataCentre));
            worst = Math.max(worst, ratio(inDataCentre));
        }
        return new Imbalance(ratio(loadByServer), worst);
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

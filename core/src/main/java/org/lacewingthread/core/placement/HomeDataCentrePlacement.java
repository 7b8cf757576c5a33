package org.lacewingthread.core.placement;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.DataCentreId;

/**
 * Chooses the data centre that is responsible for a shard before its first assignment, by rendezvous hashing. The
 * weight of a data centre is the number of servers that the configuration provides for the application there. All
 * data centres make the same choice without exchanging messages.
 */
public final class HomeDataCentrePlacement {
    private final long applicationHash;
    private final List<Map.Entry<DataCentreId, Long>> serverCounts;

    /** Creates the placement of an application's shards under a configuration. */
    public HomeDataCentrePlacement(RoutingConfiguration configuration, ApplicationSpec application) {
        this.applicationHash = Rendezvous.hash(application.id().value());
        this.serverCounts = List.copyOf(configuration.eligibleServers(application).stream()
                .collect(Collectors.groupingBy(ServerSpec::dataCentre, TreeMap::new, Collectors.counting()))
                .entrySet());
    }

    /** Returns the data centre that is responsible for a shard; empty if the application has no server. */
    public Optional<DataCentreId> homeOf(int shardIndex) {
        long key = Rendezvous.score(applicationHash, shardIndex);
        DataCentreId best = null;
        double bestScore = 0;
        for (Map.Entry<DataCentreId, Long> candidate : serverCounts) {
            long hash = Rendezvous.hash(candidate.getKey().value());
            double score = Rendezvous.weightedScore(key, hash, candidate.getValue());
            if (best == null || score > bestScore) {
                best = candidate.getKey();
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }
}

package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Load of one backend server as measured by its dispatcher.
 *
 * @param server server that the load was measured for
 * @param requestsPerSecond requests per second, averaged over the reporting interval
 * @param hottestShards the few busiest shards, in descending order of load
 */
public record ServerLoad(ServerId server, double requestsPerSecond, List<ShardLoad> hottestShards) {
    /**
     * Load of one shard.
     *
     * @param shard shard that the load was measured for
     * @param requestsPerSecond requests per second, averaged over the reporting interval
     * @param hottestKeyHash hash of the shard's busiest key
     * @param hottestKeyShare fraction of the shard's requests that are for the busiest key, from 0 to 1
     */
    public record ShardLoad(ShardId shard, double requestsPerSecond, long hottestKeyHash, double hottestKeyShare) {}

    /** Takes an immutable copy of the list. */
    public ServerLoad {
        hottestShards = List.copyOf(hottestShards);
    }
}

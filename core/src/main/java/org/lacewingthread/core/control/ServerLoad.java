package org.lacewingthread.core.control;

import java.util.List;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Load that a dispatcher saw on one backend server.
 *
 * @param server the server
 * @param requestsPerSecond requests a second, averaged over the reporting interval
 * @param hottestShards busiest shards, highest first, at most a few
 */
public record ServerLoad(ServerId server, double requestsPerSecond, List<ShardLoad> hottestShards) {
    /**
     * Load of one shard.
     *
     * @param shard the shard
     * @param requestsPerSecond requests a second
     * @param hottestKeyHash hash of its busiest key
     * @param hottestKeyShare share of the shard's requests that key received, from 0 to 1
     */
    public record ShardLoad(ShardId shard, double requestsPerSecond, long hottestKeyHash, double hottestKeyShare) {}

    /** Copies the list. */
    public ServerLoad {
        hottestShards = List.copyOf(hottestShards);
    }
}

package org.lacewingthread.daemon.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.daemon.exchange.RoutedRequest;

/**
 * Maps requests and shards to the shard under which their idempotency records are filed, according to the shard
 * tables of one control state; holds no records. A record is filed under the shard that the request's key hashes to,
 * not under the shard of a split-out key, so that it is found whether or not the key is currently split out.
 */
final class IdempotencyShardMapping {
    private final Map<ApplicationId, ShardTable> shardTables;
    private final Map<ShardId, ShardId> hashedShardBySplitShard;

    private IdempotencyShardMapping(Map<ApplicationId, ShardTable> tables, Map<ShardId, ShardId> hashedShards) {
        this.shardTables = tables;
        this.hashedShardBySplitShard = hashedShards;
    }

    static IdempotencyShardMapping of(ReplicaState state) {
        Map<ShardId, ShardId> hashedShards = new HashMap<>();
        state.shardTables().forEach((application, table) -> table.splitKeys()
                .forEach((keyHash, index) -> hashedShards.put(
                        new ShardId(application, index), new ShardId(application, table.hashedIndexOf(keyHash)))));
        return new IdempotencyShardMapping(state.shardTables(), hashedShards);
    }

    /** Returns the shard that currently serves a request's key: its own shard if split out, or the hashed one. */
    ShardId currentShardOf(RoutedRequest request) {
        ShardTable table = shardTables.get(request.shard().application());
        return table == null
                ? request.shard()
                : new ShardId(request.shard().application(), table.indexOf(request.keyHash()));
    }

    /** Returns the shard that a request's key hashes to. */
    ShardId hashedShardOf(RoutedRequest request) {
        ShardTable table = shardTables.get(request.shard().application());
        return table == null
                ? request.shard()
                : new ShardId(request.shard().application(), table.hashedIndexOf(request.keyHash()));
    }

    /** Returns the shard that the key of a split-out shard hashes to, or the given shard otherwise. */
    ShardId hashedShardOf(ShardId shard) {
        return hashedShardBySplitShard.getOrDefault(shard, shard);
    }

    /** Returns the hashed shard of each of some shards. */
    Set<ShardId> hashedShardsOf(Set<ShardId> shards) {
        Set<ShardId> hashed = new HashSet<>();
        shards.forEach(shard -> hashed.add(hashedShardOf(shard)));
        return hashed;
    }
}

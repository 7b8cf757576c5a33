package org.lacewingthread.core.traffic;

import java.util.List;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.control.ServerLoad.ShardLoad;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;

/**
 * Measures the load of one backend server over an interval in bounded memory: its request rate, its
 * busiest shards and the busiest key of each.
 *
 * <p>Not safe for use by several threads.
 */
public final class LoadMeter {
    private static final int COUNTED_SHARDS = 64;
    private static final int COUNTED_KEYS = 64;
    private static final int REPORTED_SHARDS = 8;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ServerId server;
    private SpaceSavingCounter<ShardId> shards = new SpaceSavingCounter<>(COUNTED_SHARDS);
    private SpaceSavingCounter<Key> keys = new SpaceSavingCounter<>(COUNTED_KEYS);
    private long requests;
    private long startedMillis;

    private record Key(ShardId shard, long keyHash) {}

    /** Creates a meter whose first interval starts at {@code nowMillis}. */
    public LoadMeter(ServerId server, long nowMillis) {
        this.server = server;
        this.startedMillis = nowMillis;
    }

    /** Counts a request, whether admitted or refused. */
    public void add(ShardId shard, long keyHash) {
        requests++;
        shards.add(shard);
        keys.add(new Key(shard, keyHash));
    }

    /** Returns the load of the interval that ends now, and starts the next interval. */
    public ServerLoad measureAndReset(long nowMillis) {
        double seconds = Math.max(1, nowMillis - startedMillis) / MILLIS_PER_SECOND;
        List<SpaceSavingCounter.FrequentItem<Key>> frequentKeys = keys.mostFrequent(COUNTED_KEYS);
        List<ShardLoad> hottest = shards.mostFrequent(REPORTED_SHARDS).stream()
                .map(item -> shardLoad(item, frequentKeys, seconds))
                .toList();
        ServerLoad load = new ServerLoad(server, requests / seconds, hottest);
        shards = new SpaceSavingCounter<>(COUNTED_SHARDS);
        keys = new SpaceSavingCounter<>(COUNTED_KEYS);
        requests = 0;
        startedMillis = nowMillis;
        return load;
    }

    private static ShardLoad shardLoad(
            SpaceSavingCounter.FrequentItem<ShardId> shard,
            List<SpaceSavingCounter.FrequentItem<Key>> frequentKeys,
            double seconds) {
        double shardRequests = Math.max(1, shard.count() - shard.error());
        SpaceSavingCounter.FrequentItem<Key> hottest = frequentKeys.stream()
                .filter(item -> item.value().shard().equals(shard.value()))
                .findFirst()
                .orElse(new SpaceSavingCounter.FrequentItem<>(new Key(shard.value(), 0), 0, 0));
        double share = Math.min(1, Math.max(0, hottest.count() - hottest.error()) / shardRequests);
        return new ShardLoad(
                shard.value(), shardRequests / seconds, hottest.value().keyHash(), share);
    }
}

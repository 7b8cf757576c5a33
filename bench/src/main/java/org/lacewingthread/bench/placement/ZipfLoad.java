package org.lacewingthread.bench.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardTable;

/** Request rates of one application's keys. Rates follow Zipf's law; a seed determines which key has which rank. */
final class ZipfLoad {
    private static final int KEYS = 100_000;
    private static final int HOT_KEYS = 256;
    private static final double TOTAL_REQUESTS_PER_SECOND = 1_000;

    private final ApplicationId application;
    private final int shardCount;
    private final long[] hashByRank = new long[KEYS];
    private final double[] rateByRank = new double[KEYS];
    private double[] coldRateByShard;

    ZipfLoad(ApplicationId application, int shardCount, double exponent, long seed) {
        this.application = application;
        this.shardCount = shardCount;
        Random random = new Random(seed);
        double weightSum = 0;
        for (int rank = 0; rank < KEYS; rank++) {
            hashByRank[rank] = random.nextLong();
            rateByRank[rank] = 1 / Math.pow(rank + 1.0, exponent);
            weightSum += rateByRank[rank];
        }
        for (int rank = 0; rank < KEYS; rank++) {
            rateByRank[rank] *= TOTAL_REQUESTS_PER_SECOND / weightSum;
        }
        sumColdRates();
    }

    /** Swaps the hottest keys with as many keys of medium rank. */
    void replaceHottestKeys(int count) {
        for (int rank = 0; rank < count; rank++) {
            long hot = hashByRank[rank];
            hashByRank[rank] = hashByRank[KEYS / 2 + rank];
            hashByRank[KEYS / 2 + rank] = hot;
        }
        sumColdRates();
    }

    private void sumColdRates() {
        coldRateByShard = new double[shardCount];
        for (int rank = HOT_KEYS; rank < KEYS; rank++) {
            coldRateByShard[(int) (hashByRank[rank] & (shardCount - 1))] += rateByRank[rank];
        }
    }

    /** Returns the load of each shard of a shard table, or of each hashed shard if the table is null. */
    Map<ShardId, ServerLoad.ShardLoad> loadByShard(ShardTable table) {
        Map<Integer, List<Integer>> hotRanks = new HashMap<>();
        for (int rank = 0; rank < HOT_KEYS; rank++) {
            int index = table == null ? (int) (hashByRank[rank] & (shardCount - 1)) : table.indexOf(hashByRank[rank]);
            hotRanks.computeIfAbsent(index, i -> new ArrayList<>()).add(rank);
        }
        int shards = table == null ? shardCount : table.entries().size();
        Map<ShardId, ServerLoad.ShardLoad> loads = new HashMap<>();
        for (int index = 0; index < shards; index++) {
            List<Integer> ranks = hotRanks.getOrDefault(index, List.of());
            double rate = index < shardCount ? coldRateByShard[index] : 0;
            rate += ranks.stream().mapToDouble(r -> rateByRank[r]).sum();
            ShardId shard = new ShardId(application, index);
            loads.put(shard, shardLoad(shard, rate, ranks));
        }
        return loads;
    }

    private ServerLoad.ShardLoad shardLoad(ShardId shard, double rate, List<Integer> ranks) {
        if (ranks.isEmpty()) {
            return new ServerLoad.ShardLoad(shard, rate, 0, 0);
        }
        int hottest = Collections.min(ranks, Comparator.naturalOrder());
        return new ServerLoad.ShardLoad(shard, rate, hashByRank[hottest], rateByRank[hottest] / rate);
    }
}

package org.lacewingthread.core.log;

import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.DataCentreId;

/**
 * Shard table of one application.
 *
 * @param shardCount number of hashed shards
 * @param entries one entry a shard by index: the hashed shards first, then those of split-out keys;
 *     null where a split-out key was merged back
 * @param splitKeys shard index of each split-out key by its hash
 */
public record ShardTable(int shardCount, List<Entry> entries, Map<Long, Integer> splitKeys) {
    /**
     * State of one shard.
     *
     * @param home data centre that governs the shard, or null before the first assignment
     * @param adopter data centre that may adopt it after a release, or null
     * @param assignment the newest recorded assignment, or null before the first
     */
    public record Entry(DataCentreId home, DataCentreId adopter, ShardAssignment assignment) {
        /** A shard that was never assigned. */
        public static final Entry UNASSIGNED = new Entry(null, null, null);
    }

    /** Checks that every hashed shard has an entry. */
    public ShardTable {
        if (entries.size() < shardCount) {
            throw new IllegalArgumentException(
                    "shard table has " + entries.size() + " entries, fewer than " + shardCount + " shards");
        }
        splitKeys = Map.copyOf(splitKeys);
    }
}

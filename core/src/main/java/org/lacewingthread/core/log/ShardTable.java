package org.lacewingthread.core.log;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.DataCentreId;

/**
 * Immutable shard table of one application. A changed copy shares almost all of its memory with the original.
 *
 * @param shardCount number of hashed shards; a power of two
 * @param entries the entries by shard index: first the hashed shards, then the shards of split-out keys;
 *     null at the index of a split-out key that was merged back
 * @param splitKeys shard index of each split-out key, by the hash of the key
 */
public record ShardTable(int shardCount, List<Entry> entries, Map<Long, Integer> splitKeys) {
    /** Maximum number of keys of one application that can be split out at the same time. */
    public static final int MAX_SPLIT_KEYS = 4096;

    /**
     * State of one shard.
     *
     * @param home data centre that is responsible for the shard; null before the first assignment
     * @param adopter data centre to which the shard was released and which may take it over; null if the
     *     shard is not released
     * @param assignment the newest recorded assignment; null before the first one
     */
    public record Entry(DataCentreId home, DataCentreId adopter, ShardAssignment assignment) {
        /** Entry of a shard that was never assigned. */
        public static final Entry UNASSIGNED = new Entry(null, null, null);

        /** Returns whether a data centre is responsible for the shard and has not released it. */
        public boolean isGovernedBy(DataCentreId dataCentre) {
            return dataCentre.equals(home) && adopter == null;
        }

        Entry withAdopter(DataCentreId newAdopter) {
            return new Entry(home, newAdopter, assignment);
        }
    }

    /**
     * Creates a table with copies of the collections.
     *
     * @throws IllegalArgumentException if the shard count is not a power of two, or a hashed shard has no
     *     entry
     */
    public ShardTable {
        if (Integer.bitCount(shardCount) != 1) {
            throw new IllegalArgumentException("shard count " + shardCount + " is not a power of two");
        }
        if (entries.size() < shardCount) {
            throw new IllegalArgumentException(
                    "shard table has " + entries.size() + " entries, fewer than " + shardCount + " shards");
        }
        entries = ShardEntries.copyOf(entries);
        splitKeys = SplitKeys.copyOf(splitKeys);
    }

    /** Returns a table in which no shard is assigned. */
    public static ShardTable unassigned(int shardCount) {
        return new ShardTable(shardCount, Collections.nCopies(shardCount, Entry.UNASSIGNED), Map.of());
    }

    /** Returns the index of the shard that a key belongs to. Allocates no memory. */
    public int indexOf(long keyHash) {
        int split = ((SplitKeys) splitKeys).indexOf(keyHash);
        return split == SplitKeys.ABSENT ? hashedIndexOf(keyHash) : split;
    }

    /** Returns the index of the hashed shard that a key belongs to if it is not split out. */
    public int hashedIndexOf(long keyHash) {
        return (int) (keyHash & (shardCount - 1));
    }

    /** Returns the entry of a shard, null if there is no such shard. */
    public Entry entry(int index) {
        return index < 0 || index >= entries.size() ? null : entries.get(index);
    }

    /** Returns a copy with some entries replaced by index. Indexes from the size on must be contiguous. */
    ShardTable withEntries(Map<Integer, Entry> changed) {
        return new ShardTable(shardCount, ((ShardEntries) entries).withAll(changed), splitKeys);
    }

    ShardTable withSplitKeys(Map<Long, Integer> added) {
        Map<Long, Integer> keys = new HashMap<>(splitKeys);
        keys.putAll(added);
        return new ShardTable(shardCount, entries, keys);
    }

    ShardTable withoutSplitKeys(List<Long> removed) {
        Map<Long, Integer> keys = new HashMap<>(splitKeys);
        removed.forEach(keys::remove);
        return new ShardTable(shardCount, entries, keys);
    }
}

package org.lacewingthread.core.log;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.DataCentreId;

/**
 * Shard table of one application. Immutable; a table made from another shares almost all of its memory.
 *
 * @param shardCount number of hashed shards; a power of two
 * @param entries one entry a shard by index: the hashed shards first, then those of split-out keys;
 *     null where a split-out key was merged back
 * @param splitKeys shard index of each split-out key by its hash
 */
public record ShardTable(int shardCount, List<Entry> entries, Map<Long, Integer> splitKeys) {
    /** Most keys of one application that may be split out at a time. */
    public static final int MAX_SPLIT_KEYS = 4096;

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

        /** Returns whether a data centre governs the shard and has not given it up. */
        public boolean isGovernedBy(DataCentreId dataCentre) {
            return dataCentre.equals(home) && adopter == null;
        }

        Entry withAdopter(DataCentreId newAdopter) {
            return new Entry(home, newAdopter, assignment);
        }
    }

    /** Checks that every hashed shard has an entry. */
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

    /** Returns a table of which no shard was assigned yet. */
    public static ShardTable unassigned(int shardCount) {
        return new ShardTable(shardCount, Collections.nCopies(shardCount, Entry.UNASSIGNED), Map.of());
    }

    /** Returns the index of the shard that a key belongs to; allocates nothing. */
    public int indexOf(long keyHash) {
        int split = ((SplitKeys) splitKeys).indexOf(keyHash);
        return split == SplitKeys.ABSENT ? hashedIndexOf(keyHash) : split;
    }

    /** Returns the index of the hashed shard that a key belongs to unless it is split out. */
    public int hashedIndexOf(long keyHash) {
        return (int) (keyHash & (shardCount - 1));
    }

    /** Returns the entry of a shard, or null if there is no such shard. */
    public Entry entry(int index) {
        return index < 0 || index >= entries.size() ? null : entries.get(index);
    }

    /** Returns this table with entries replaced; indexes may extend the table without leaving holes. */
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

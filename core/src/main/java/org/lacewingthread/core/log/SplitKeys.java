package org.lacewingthread.core.log;

import java.util.AbstractMap;
import java.util.Arrays;
import java.util.Map;
import java.util.Set;

/**
 * Immutable map from the hash of a split-out key to its shard index. {@link #indexOf} finds an index without
 * boxing, in a hash table with open addressing.
 */
final class SplitKeys extends AbstractMap<Long, Integer> {
    /** Index returned for a hash that the map does not contain. */
    static final int ABSENT = -1;

    private static final int SLOTS_PER_KEY = 2;

    private final Map<Long, Integer> boxed;
    private final long[] hashes;
    private final int[] indexes;

    private SplitKeys(Map<Long, Integer> boxed) {
        this.boxed = boxed;
        int slots = Integer.highestOneBit(Math.max(1, boxed.size())) * 2 * SLOTS_PER_KEY;
        hashes = new long[slots];
        indexes = new int[slots];
        Arrays.fill(indexes, ABSENT);
        boxed.forEach(this::insert);
    }

    static SplitKeys copyOf(Map<Long, Integer> keys) {
        return keys instanceof SplitKeys shared ? shared : new SplitKeys(Map.copyOf(keys));
    }

    private void insert(long hash, int index) {
        int slot = firstSlot(hash);
        while (indexes[slot] != ABSENT) {
            slot = nextSlot(slot);
        }
        hashes[slot] = hash;
        indexes[slot] = index;
    }

    int indexOf(long hash) {
        int slot = firstSlot(hash);
        while (indexes[slot] != ABSENT) {
            if (hashes[slot] == hash) {
                return indexes[slot];
            }
            slot = nextSlot(slot);
        }
        return ABSENT;
    }

    /** Uses the high bits, because the low bits are equal for all keys of one hashed shard. */
    private int firstSlot(long hash) {
        return (int) (hash >>> Integer.SIZE) & (hashes.length - 1);
    }

    private int nextSlot(int slot) {
        return (slot + 1) & (hashes.length - 1);
    }

    @Override
    public Set<Entry<Long, Integer>> entrySet() {
        return boxed.entrySet();
    }

    @Override
    public Integer get(Object key) {
        return boxed.get(key);
    }

    @Override
    public boolean containsKey(Object key) {
        return boxed.containsKey(key);
    }
}

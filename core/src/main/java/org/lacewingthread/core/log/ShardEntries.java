package org.lacewingthread.core.log;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.RandomAccess;
import java.util.TreeMap;

/**
 * Immutable list of shard entries, stored as a persistent vector: a tree of arrays with 32 slots each. A
 * changed copy shares all arrays with its original except those on the path to a changed element.
 * Elements may be null.
 */
final class ShardEntries extends AbstractList<ShardTable.Entry> implements RandomAccess {
    private static final int BITS_PER_LEVEL = 5;
    private static final int SLOTS = 1 << BITS_PER_LEVEL;
    private static final int SLOT_MASK = SLOTS - 1;
    /** If more than 1/8 of the elements change, copying the whole list is cheaper than copying paths. */
    private static final int REBUILD_DIVISOR = 8;

    private final Object[] root;
    private final int rootShift;
    private final int size;

    private ShardEntries(Object[] root, int rootShift, int size) {
        this.root = root;
        this.rootShift = rootShift;
        this.size = size;
    }

    static ShardEntries copyOf(List<ShardTable.Entry> entries) {
        if (entries instanceof ShardEntries shared) {
            return shared;
        }
        int shift = 0;
        while (entries.size() > 1L << (shift + BITS_PER_LEVEL)) {
            shift += BITS_PER_LEVEL;
        }
        return new ShardEntries(build(entries, 0, shift), shift, entries.size());
    }

    private static Object[] build(List<ShardTable.Entry> entries, int from, int shift) {
        Object[] slots = new Object[SLOTS];
        for (int slot = 0; slot < SLOTS; slot++) {
            int index = from + (slot << shift);
            if (index >= entries.size()) {
                break;
            }
            slots[slot] = shift == 0 ? entries.get(index) : build(entries, index, shift - BITS_PER_LEVEL);
        }
        return slots;
    }

    @Override
    public int size() {
        return size;
    }

    @Override
    public ShardTable.Entry get(int index) {
        if (index < 0 || index >= size) {
            throw new IndexOutOfBoundsException("shard index " + index + " is out of bounds for size " + size);
        }
        Object[] slots = root;
        for (int shift = rootShift; shift > 0; shift -= BITS_PER_LEVEL) {
            slots = (Object[]) slots[(index >>> shift) & SLOT_MASK];
        }
        return (ShardTable.Entry) slots[index & SLOT_MASK];
    }

    /**
     * Returns a copy with some elements replaced by index. Indexes from the size on append elements and must be
     * contiguous.
     */
    ShardEntries withAll(Map<Integer, ShardTable.Entry> changed) {
        if (changed.size() > size / REBUILD_DIVISOR) {
            return rebuilt(changed);
        }
        ShardEntries result = this;
        for (Map.Entry<Integer, ShardTable.Entry> change : new TreeMap<>(changed).entrySet()) {
            result = result.with(change.getKey(), change.getValue());
        }
        return result;
    }

    private ShardEntries rebuilt(Map<Integer, ShardTable.Entry> changed) {
        List<ShardTable.Entry> elements = new ArrayList<>(this);
        for (Map.Entry<Integer, ShardTable.Entry> change : new TreeMap<>(changed).entrySet()) {
            if (change.getKey() < elements.size()) {
                elements.set(change.getKey(), change.getValue());
            } else {
                elements.add(change.getKey(), change.getValue());
            }
        }
        return copyOf(elements);
    }

    /** Returns a copy with one element replaced, or appended if the index equals the size. */
    ShardEntries with(int index, ShardTable.Entry entry) {
        if (index < 0 || index > size) {
            throw new IndexOutOfBoundsException(
                    "shard index " + index + " is out of bounds for appending at size " + size);
        }
        Object[] newRoot = root;
        int shift = rootShift;
        if (index >= 1L << (rootShift + BITS_PER_LEVEL)) {
            newRoot = new Object[SLOTS];
            newRoot[0] = root;
            shift += BITS_PER_LEVEL;
        }
        return new ShardEntries(replace(newRoot, shift, index, entry), shift, Math.max(size, index + 1));
    }

    private static Object[] replace(Object[] slots, int shift, int index, ShardTable.Entry entry) {
        Object[] changed = slots == null ? new Object[SLOTS] : Arrays.copyOf(slots, SLOTS);
        int slot = (index >>> shift) & SLOT_MASK;
        changed[slot] = shift == 0 ? entry : replace((Object[]) changed[slot], shift - BITS_PER_LEVEL, index, entry);
        return changed;
    }
}

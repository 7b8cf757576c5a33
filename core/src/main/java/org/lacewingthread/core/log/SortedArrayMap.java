package org.lacewingthread.core.log;

import java.util.AbstractMap;
import java.util.AbstractSet;
import java.util.Arrays;
import java.util.Iterator;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.Set;
import java.util.TreeMap;

/**
 * Immutable map for a few hundred entries. Changed copies are cheap, because the sorted keys and their values
 * are kept in two arrays.
 */
final class SortedArrayMap<K extends Comparable<K>, V> extends AbstractMap<K, V> {
    private final Object[] keys;
    private final Object[] values;

    private SortedArrayMap(Object[] keys, Object[] values) {
        this.keys = keys;
        this.values = values;
    }

    static <K extends Comparable<K>, V> SortedArrayMap<K, V> copyOf(Map<K, V> map) {
        if (map instanceof SortedArrayMap<K, V> shared) {
            return shared;
        }
        TreeMap<K, V> sorted = new TreeMap<>(map);
        return new SortedArrayMap<>(sorted.keySet().toArray(), sorted.values().toArray());
    }

    /** Returns a copy in which a key is mapped to a value. */
    SortedArrayMap<K, V> with(K key, V value) {
        int found = Arrays.binarySearch(keys, key);
        if (found >= 0) {
            Object[] changed = values.clone();
            changed[found] = value;
            return new SortedArrayMap<>(keys, changed);
        }
        int insertionIndex = -found - 1;
        return new SortedArrayMap<>(inserted(keys, insertionIndex, key), inserted(values, insertionIndex, value));
    }

    private static Object[] inserted(Object[] source, int index, Object element) {
        Object[] changed = Arrays.copyOf(source, source.length + 1);
        System.arraycopy(source, index, changed, index + 1, source.length - index);
        changed[index] = element;
        return changed;
    }

    /** Returns a copy without a key. */
    SortedArrayMap<K, V> without(K key) {
        int found = Arrays.binarySearch(keys, key);
        return found < 0 ? this : new SortedArrayMap<>(removed(keys, found), removed(values, found));
    }

    private static Object[] removed(Object[] source, int index) {
        Object[] changed = Arrays.copyOf(source, source.length - 1);
        System.arraycopy(source, index + 1, changed, index, source.length - index - 1);
        return changed;
    }

    @Override
    @SuppressWarnings("unchecked")
    public V get(Object key) {
        int found = Arrays.binarySearch(keys, key);
        return found < 0 ? null : (V) values[found];
    }

    @Override
    public boolean containsKey(Object key) {
        return Arrays.binarySearch(keys, key) >= 0;
    }

    @Override
    public Set<Entry<K, V>> entrySet() {
        return new AbstractSet<>() {
            @Override
            public int size() {
                return keys.length;
            }

            @Override
            public Iterator<Entry<K, V>> iterator() {
                return new EntryIterator();
            }
        };
    }

    private final class EntryIterator implements Iterator<Entry<K, V>> {
        private int next;

        @Override
        public boolean hasNext() {
            return next < keys.length;
        }

        @Override
        @SuppressWarnings("unchecked")
        public Entry<K, V> next() {
            if (!hasNext()) {
                throw new NoSuchElementException("all " + keys.length + " entries were returned");
            }
            int index = next++;
            return Map.entry((K) keys[index], (V) values[index]);
        }
    }
}

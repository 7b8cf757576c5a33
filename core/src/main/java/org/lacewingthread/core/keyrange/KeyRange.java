package org.lacewingthread.core.keyrange;

import java.util.ArrayList;
import java.util.List;

/**
 * A non-empty interval of the numeric key space.
 *
 * @param firstKey lowest key, inclusive
 * @param lastKey highest key, inclusive
 */
public record KeyRange(int firstKey, int lastKey) implements Comparable<KeyRange> {
    /** The highest key of the key space. */
    public static final int MAX_KEY = 65_535;

    /** The whole key space. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException if a key is outside the key space or the first exceeds the last
     */
    public KeyRange {
        if (firstKey < 0 || lastKey > MAX_KEY || firstKey > lastKey) {
            throw new IllegalArgumentException("invalid key range " + firstKey + " to " + lastKey
                    + ": keys must be in 0 to " + MAX_KEY + " and the first must not exceed the last");
        }
    }

    /** Returns whether a key lies in this range. */
    public boolean contains(int key) {
        return firstKey <= key && key <= lastKey;
    }

    /** Returns whether a range has keys in common with this one. */
    public boolean overlaps(KeyRange other) {
        return firstKey <= other.lastKey && other.firstKey <= lastKey;
    }

    /**
     * Returns the keys that this range has in common with another one.
     *
     * @throws IllegalArgumentException if there are none
     */
    public KeyRange intersection(KeyRange other) {
        return new KeyRange(Math.max(firstKey, other.firstKey), Math.min(lastKey, other.lastKey));
    }

    /** Returns what is left of this range without the keys of another one: up to two ranges, in key order. */
    public List<KeyRange> without(KeyRange other) {
        if (!overlaps(other)) {
            return List.of(this);
        }
        List<KeyRange> rest = new ArrayList<>();
        if (firstKey < other.firstKey) {
            rest.add(below(other.firstKey));
        }
        if (lastKey > other.lastKey) {
            rest.add(from(other.lastKey + 1));
        }
        return rest;
    }

    /** Returns the number of keys in this range. */
    public int size() {
        return lastKey - firstKey + 1;
    }

    /** Returns the part of this range below a key, which is not included. */
    public KeyRange below(int key) {
        return new KeyRange(firstKey, key - 1);
    }

    /** Returns the part of this range that starts at a key. */
    public KeyRange from(int key) {
        return new KeyRange(key, lastKey);
    }

    @Override
    public int compareTo(KeyRange other) {
        return Integer.compare(firstKey, other.firstKey);
    }

    @Override
    public String toString() {
        return firstKey + "-" + lastKey;
    }
}

package org.lacewingthread.core.keyrange;

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

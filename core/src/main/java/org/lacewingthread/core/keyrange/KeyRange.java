package org.lacewingthread.core.keyrange;

/**
 * Consecutive keys of the numeric key space.
 *
 * @param firstKey lowest key
 * @param lastKey highest key, included
 */
public record KeyRange(int firstKey, int lastKey) implements Comparable<KeyRange> {
    /** Highest key. */
    public static final int MAX_KEY = 65_535;

    /** The whole key space. */
    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Checks the bounds. */
    public KeyRange {
        if (firstKey < 0 || lastKey > MAX_KEY || firstKey > lastKey) {
            throw new IllegalArgumentException("key range " + firstKey + " to " + lastKey
                    + " is not valid; use keys of 0 to " + MAX_KEY + " in rising order");
        }
    }

    /** Tells whether it holds a key. */
    public boolean contains(int key) {
        return firstKey <= key && key <= lastKey;
    }

    /** Returns how many keys it holds. */
    public int size() {
        return lastKey - firstKey + 1;
    }

    /** Returns the part below a key. */
    public KeyRange below(int key) {
        return new KeyRange(firstKey, key - 1);
    }

    /** Returns the part from a key on. */
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

package org.lacewingthread.core.id;

/**
 * Position of a record in the platform's log. Offsets start at 0; {@link #NONE} is lower than all.
 *
 * @param value offset, or -1 for {@link #NONE}
 */
public record LogOffset(long value) implements Comparable<LogOffset> {
    /** Offset before the first record. */
    public static final LogOffset NONE = new LogOffset(-1);

    /** Checks that the value is at least -1. */
    public LogOffset {
        if (value < -1) {
            throw new IllegalArgumentException("log offset " + value + " is below -1");
        }
    }

    /** Returns the next higher offset. */
    public LogOffset next() {
        return new LogOffset(value + 1);
    }

    /** Returns whether this offset is higher than another. */
    public boolean isAfter(LogOffset other) {
        return value > other.value;
    }

    @Override
    public int compareTo(LogOffset other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}

package org.lacewingthread.core.id;

/**
 * Position of a record in the platform's log. Offsets start at 0; {@link #NONE} precedes them all.
 *
 * @param value the offset, or -1 for none
 */
public record LogOffset(long value) implements Comparable<LogOffset> {
    /** Precedes every record. */
    public static final LogOffset NONE = new LogOffset(-1);

    /** Checks the range. */
    public LogOffset {
        if (value < -1) {
            throw new IllegalArgumentException("log offset " + value + " is below -1");
        }
    }

    /** Returns the offset that follows this one. */
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

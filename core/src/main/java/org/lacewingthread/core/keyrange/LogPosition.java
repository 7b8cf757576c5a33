package org.lacewingthread.core.keyrange;

/**
 * A position in the store's log of range tables. When the store comes back from an older copy, its era rises by one and
 * ends are given out again, so ends of different eras are never compared.
 *
 * @param era era of the store
 * @param end end of the log; negative if it is unknown
 */
public record LogPosition(long era, long end) {
    /**
     * Checks the era.
     *
     * @throws IllegalArgumentException if the era is negative
     */
    public LogPosition {
        if (era < 0) {
            throw new IllegalArgumentException("era " + era + " must not be negative");
        }
    }

    /** Returns whether this position is of a later era, or later in the same one. */
    public boolean isAfter(LogPosition other) {
        return era > other.era || (era == other.era && end > other.end);
    }
}

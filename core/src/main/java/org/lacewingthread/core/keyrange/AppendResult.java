package org.lacewingthread.core.keyrange;

import java.util.OptionalLong;

/**
 * The result of a conditional append to the store's log.
 *
 * @param outcome what is known about the append
 * @param newEnd end of the log after the record; empty unless it was recorded
 */
public record AppendResult(Outcome outcome, OptionalLong newEnd) {
    private static final AppendResult REFUSED_RESULT = new AppendResult(Outcome.REFUSED, OptionalLong.empty());
    private static final AppendResult UNKNOWN_RESULT = new AppendResult(Outcome.UNKNOWN, OptionalLong.empty());

    /** What is known about an append. */
    public enum Outcome {
        /** The record was appended. */
        RECORDED,
        /** The record was not appended and never will be: the store rejected the call, or it was never sent. */
        REFUSED,
        /** There was no usable answer; the record may have been appended or may be appended later. */
        UNKNOWN
    }

    /**
     * Checks that exactly a recorded append has the end of the log.
     *
     * @throws IllegalArgumentException if a recorded append lacks the end, if another one has it, or if the end is
     *     not positive
     */
    public AppendResult {
        if ((outcome == Outcome.RECORDED) != newEnd.isPresent()) {
            throw new IllegalArgumentException("append " + outcome + " with new end " + newEnd
                    + ": exactly a recorded append must have the end of the log");
        }
        if (newEnd.isPresent() && newEnd.getAsLong() <= 0) {
            throw new IllegalArgumentException(
                    "the log ends at " + newEnd.getAsLong() + " after an append; the end must be positive");
        }
    }

    /**
     * Returns the result of an append that was carried out.
     *
     * @param newEnd end of the log after the record
     * @throws IllegalArgumentException if the end is not positive
     */
    public static AppendResult recorded(long newEnd) {
        return new AppendResult(Outcome.RECORDED, OptionalLong.of(newEnd));
    }

    /** Returns the result of an append that was not carried out and never will be. */
    public static AppendResult refused() {
        return REFUSED_RESULT;
    }

    /** Returns the result of an append that may have been carried out, or may be later. */
    public static AppendResult unknown() {
        return UNKNOWN_RESULT;
    }
}

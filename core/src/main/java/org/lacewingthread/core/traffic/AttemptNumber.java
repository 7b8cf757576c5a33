package org.lacewingthread.core.traffic;

import java.util.Optional;

/** What a caller states about earlier attempts under an idempotency key. */
public enum AttemptNumber {
    /** No earlier attempt may have run. */
    FIRST,
    /** The caller says nothing; it promises to repeat within the window of the records only. */
    UNSTATED,
    /** An earlier attempt may have run. */
    REPEAT;

    private static final int MAX_LENGTH_CHARS = 4;

    /**
     * Reads the value of the header {@code Lacewingthread-FailedAttempt}.
     *
     * @param text its value, or null if the header is absent
     * @return empty if it is not a number from 1 to 9999
     */
    public static Optional<AttemptNumber> parse(String text) {
        if (text == null) {
            return Optional.of(UNSTATED);
        }
        boolean isNumber = !text.isEmpty()
                && text.length() <= MAX_LENGTH_CHARS
                && text.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!isNumber || Integer.parseInt(text) < 1) {
            return Optional.empty();
        }
        return Optional.of(Integer.parseInt(text) == 1 ? FIRST : REPEAT);
    }
}

package org.lacewingthread.core.traffic;

import java.util.Optional;

/** Caller's statement about earlier attempts with the same idempotency key. */
public enum AttemptNumber {
    /** No earlier attempt may have run. */
    FIRST,
    /** The caller states nothing; it must repeat only within the window for which records are kept. */
    UNSTATED,
    /** An earlier attempt may have run. */
    REPEAT;

    private static final int MAX_LENGTH_CHARS = 4;

    /**
     * Parses the value of the header {@code Lacewingthread-Attempt}.
     *
     * @param text header value, or null if the header is absent
     * @return the statement, or empty if the value is not a number from 1 to 9999
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

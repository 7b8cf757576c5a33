package org.lacewingthread.standin;

/** Range checks of settings and faults. */
final class Checks {
    private Checks() {}

    static void requireNonNegative(String field, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " " + value + " is negative; give 0 or more");
        }
    }

    static void requirePositive(String field, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " " + value + " is not positive; give 1 or more");
        }
    }
}

package org.lacewingthread.standin;

/** Range checks for settings and faults. */
final class Checks {
    private Checks() {}

    /** Throws IllegalArgumentException if a value is below 0. */
    static void requireNonNegative(String field, long value) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " " + value + " is negative; give 0 or more");
        }
    }

    /** Throws IllegalArgumentException if a value is below 1. */
    static void requirePositive(String field, long value) {
        if (value < 1) {
            throw new IllegalArgumentException(field + " " + value + " is not positive; give 1 or more");
        }
    }
}

package org.lacewingthread.standin;

/**
 * Validates and compares fencing tokens of the form {@code claim:ordinal:vm:start:plan}. They are ordered
 * by their fields from left to right: {@code vm} as text, the others as numbers.
 */
final class FencingTokens {
    private static final int FIELDS = 5;
    private static final int VM_FIELD = 2;

    private FencingTokens() {}

    /**
     * Returns the token.
     *
     * @throws IllegalArgumentException if it is null or not of the required form
     */
    static String requireValid(String token) {
        String[] fields = token == null ? new String[0] : token.split(":", -1);
        boolean valid = fields.length == FIELDS;
        for (int i = 0; valid && i < FIELDS; i++) {
            valid = fields[i].matches(i == VM_FIELD ? "[a-z0-9._-]+" : "-?[0-9]{1,19}");
        }
        if (!valid) {
            throw new IllegalArgumentException(
                    "token \"" + token + "\" does not have the form claim:ordinal:vm:start:plan");
        }
        return token;
    }

    /** Compares two valid tokens; the result is negative if the first is lower. */
    static int compare(String one, String other) {
        String[] left = one.split(":", -1);
        String[] right = other.split(":", -1);
        for (int i = 0; i < FIELDS; i++) {
            int order = i == VM_FIELD
                    ? left[i].compareTo(right[i])
                    : Long.compare(Long.parseLong(left[i]), Long.parseLong(right[i]));
            if (order != 0) {
                return order;
            }
        }
        return 0;
    }
}

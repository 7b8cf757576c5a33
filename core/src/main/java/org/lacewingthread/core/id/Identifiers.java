package org.lacewingthread.core.id;

import java.util.regex.Pattern;

/** Validates the syntax shared by all textual identifiers. */
final class Identifiers {
    private static final int MAX_LENGTH_CHARS = 64;
    private static final Pattern SYNTAX = Pattern.compile("[a-z0-9][a-z0-9._-]*");

    private Identifiers() {}

    /** Returns the value if it is valid; throws {@link IllegalArgumentException} with its kind otherwise. */
    static String requireValid(String kind, String value) {
        if (value == null) {
            throw new IllegalArgumentException(kind + " is missing");
        }
        if (value.length() > MAX_LENGTH_CHARS) {
            throw new IllegalArgumentException(
                    kind + " \"" + value + "\" is longer than " + MAX_LENGTH_CHARS + " characters; shorten it");
        }
        if (!SYNTAX.matcher(value).matches()) {
            throw new IllegalArgumentException(kind + " \"" + value
                    + "\" is not valid; use lower-case letters, digits, dots, underscores and hyphens");
        }
        return value;
    }
}

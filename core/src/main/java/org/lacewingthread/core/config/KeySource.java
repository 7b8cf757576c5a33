package org.lacewingthread.core.config;

/**
 * Part of a request that carries the key.
 *
 * @param kind kind of the part
 * @param name name of the header or query parameter, or position of the path segment, counted from 0
 */
public record KeySource(Kind kind, String name) {
    /** Kind of a request part that can carry the key. */
    public enum Kind {
        /** A segment of the path. */
        PATH_SEGMENT,
        /** A request header. */
        HEADER,
        /** A query parameter. */
        QUERY_PARAMETER
    }

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is missing, or a path segment is not given by its position
     */
    public KeySource {
        if (kind == null || name == null || name.isBlank()) {
            throw new IllegalArgumentException("key source needs a kind and a name, got " + kind + " \"" + name + "\"");
        }
        if (kind == Kind.PATH_SEGMENT && !name.matches("[0-9]{1,3}")) {
            throw new IllegalArgumentException(
                    "key source names path segment \"" + name + "\"; give its position counted from 0");
        }
    }
}

package org.lacewingthread.core.config;

/**
 * Where a request carries its key.
 *
 * @param kind part of the request
 * @param name header or query parameter name, or the position of the path segment counted from 0
 */
public record KeySource(Kind kind, String name) {
    /** Part of a request that can carry the key. */
    public enum Kind {
        /** A segment of the path. */
        PATH_SEGMENT,
        /** A request header. */
        HEADER,
        /** A query parameter. */
        QUERY_PARAMETER
    }

    /** Checks that a path segment names a position. */
    public KeySource {
        if (kind == null || name == null || name.isBlank()) {
            throw new IllegalArgumentException("key source needs a kind and a name");
        }
        if (kind == Kind.PATH_SEGMENT && !name.matches("[0-9]{1,3}")) {
            throw new IllegalArgumentException(
                    "key source names path segment \"" + name + "\"; give its position counted from 0");
        }
    }
}

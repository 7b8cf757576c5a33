package org.lacewingthread.core.id;

/**
 * Id of a writer of log records, unique for each start of a process.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record WriterId(String value) implements Comparable<WriterId> {
    /** Checks the syntax. */
    public WriterId {
        Identifiers.requireValid("writer id", value);
    }

    @Override
    public int compareTo(WriterId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.lacewingthread.core.id;

/**
 * Names one backend server.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record ServerId(String value) implements Comparable<ServerId> {
    /** Checks the syntax. */
    public ServerId {
        Identifiers.requireValid("server id", value);
    }

    @Override
    public int compareTo(ServerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.lacewingthread.core.id;

/**
 * Id of a backend server; may be kept across restarts, see {@link ServerStart}.
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

package org.lacewingthread.core.id;

/**
 * Id of an application: a key space served by one labelled group of backend servers.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record ApplicationId(String value) implements Comparable<ApplicationId> {
    /** Checks the syntax. */
    public ApplicationId {
        Identifiers.requireValid("application id", value);
    }

    @Override
    public int compareTo(ApplicationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

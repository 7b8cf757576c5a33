package org.lacewingthread.core.id;

/**
 * Id of a service: a set of backend servers that answer the same requests.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Checks the syntax. */
    public ServiceId {
        Identifiers.requireValid("service id", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

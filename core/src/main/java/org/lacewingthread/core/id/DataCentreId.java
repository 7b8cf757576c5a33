package org.lacewingthread.core.id;

/**
 * Id of a data centre.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {
    /** Checks the syntax. */
    public DataCentreId {
        Identifiers.requireValid("data centre id", value);
    }

    @Override
    public int compareTo(DataCentreId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

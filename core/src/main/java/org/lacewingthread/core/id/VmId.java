package org.lacewingthread.core.id;

/**
 * Id of an entry VM; kept across restarts of its process, see {@link VmStart}.
 *
 * @param value lower-case letters, digits, dots, underscores and hyphens, at most 64 characters
 */
public record VmId(String value) implements Comparable<VmId> {
    /** Checks the syntax. */
    public VmId {
        Identifiers.requireValid("VM id", value);
    }

    @Override
    public int compareTo(VmId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}

package org.lacewingthread.core.config;

/**
 * A label on a backend server.
 *
 * @param name name of the label, unique within a server
 * @param value value of the label
 */
public record Label(String name, String value) {
    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if the name or the value is missing or blank
     */
    public Label {
        if (name == null || name.isBlank() || value == null || value.isBlank()) {
            throw new IllegalArgumentException(
                    "label needs a name and a value, got \"" + name + "\"=\"" + value + "\"");
        }
    }

    @Override
    public String toString() {
        return name + "=" + value;
    }
}

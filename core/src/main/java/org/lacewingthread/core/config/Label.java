package org.lacewingthread.core.config;

/**
 * A label on a backend server.
 *
 * @param name name of the label
 * @param value its value
 */
public record Label(String name, String value) {
    /** Checks that both parts are present. */
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

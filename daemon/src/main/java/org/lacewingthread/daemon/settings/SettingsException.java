package org.lacewingthread.daemon.settings;

/**
 * Thrown when a settings or configuration file can't be read or is not valid. The message names the file, the line,
 * the field and what to write instead.
 */
public final class SettingsException extends Exception {
    /** Creates an exception with the cause of the failure. */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates an exception without a cause. */
    public SettingsException(String message) {
        this(message, null);
    }
}

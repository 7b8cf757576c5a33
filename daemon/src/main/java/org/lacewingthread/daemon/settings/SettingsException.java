package org.lacewingthread.daemon.settings;

/** A settings or configuration file can't be used; the message names file, line, field and a remedy. */
public final class SettingsException extends Exception {
    /** Creates one. */
    public SettingsException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates one without a cause. */
    public SettingsException(String message) {
        this(message, null);
    }
}

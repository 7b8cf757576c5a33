package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;

/** Thrown when records that a reader needs have expired and no snapshot in the log covers them. */
public final class LogGapException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a gap in the log.
     *
     * @param wanted offset of the first record that the reader needs
     * @param oldest oldest offset that can still be read
     */
    public LogGapException(LogOffset wanted, LogOffset oldest) {
        super("the log keeps no record below " + oldest + ", but record " + wanted
                + " is needed and no snapshot covers it; take the state from a running entry VM");
    }
}

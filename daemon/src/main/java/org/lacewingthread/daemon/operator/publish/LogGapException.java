package org.lacewingthread.daemon.operator.publish;

import org.lacewingthread.core.id.LogOffset;

/** Records that the reader needs have expired, and no snapshot in the log stands for them. */
public final class LogGapException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates one.
     *
     * @param wanted offset of the first record needed
     * @param oldest oldest offset that the log still keeps
     */
    public LogGapException(LogOffset wanted, LogOffset oldest) {
        super("the log keeps no record below " + oldest + ", but record " + wanted
                + " is needed and no snapshot stands for it; take the state from a running entry VM");
    }
}

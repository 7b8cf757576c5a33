package org.lacewingthread.core.serving;

/** Whether a request may run more than once. */
public enum Repeatability {
    /** The request is idempotent and may run any number of times. */
    REPEATABLE {
        @Override
        public boolean maySendAgain(boolean mayHaveRun) {
            return true;
        }
    },
    /** The request must run at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean maySendAgain(boolean mayHaveRun) {
            return !mayHaveRun;
        }
    };

    /**
     * Returns whether the request may be sent again.
     *
     * @param mayHaveRun whether an earlier attempt may have run or may still run
     */
    public abstract boolean maySendAgain(boolean mayHaveRun);
}

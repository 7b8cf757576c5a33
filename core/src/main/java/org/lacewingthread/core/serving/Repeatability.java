package org.lacewingthread.core.serving;

/** Whether one request may run more than once. */
public enum Repeatability {
    /** Running it again does no harm. */
    REPEATABLE {
        @Override
        public boolean maySendAgain(boolean mayHaveRun) {
            return true;
        }
    },
    /** It must run at most once. */
    AT_MOST_ONCE {
        @Override
        public boolean maySendAgain(boolean mayHaveRun) {
            return !mayHaveRun;
        }
    };

    /**
     * Tells whether another attempt is harmless.
     *
     * @param mayHaveRun whether an earlier attempt may have run or may still run
     */
    public abstract boolean maySendAgain(boolean mayHaveRun);
}

package org.lacewingthread.daemon.platform;

import org.lacewingthread.core.id.LogOffset;

/** A call to the platform's log failed. */
public abstract sealed class LogException extends Exception {
    private LogException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The call provably had no effect. */
    public static final class Unavailable extends LogException {
        /** Creates one. */
        public Unavailable(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The record may have been appended. */
    public static final class OutcomeUnknown extends LogException {
        /** Creates one. */
        public OutcomeUnknown(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The log refused the record because too many were appended. */
    public static final class RateExceeded extends LogException {
        private final long retryAfterMillis;

        /** Creates one. */
        public RateExceeded(String message, long retryAfterMillis) {
            super(message, null);
            this.retryAfterMillis = retryAfterMillis;
        }

        /** Returns how long to wait before the next try, in milliseconds. */
        public long retryAfterMillis() {
            return retryAfterMillis;
        }
    }

    /** The wanted records are no longer kept. */
    public static final class Expired extends LogException {
        private final LogOffset oldestOffset;

        /** Creates one. */
        public Expired(String message, LogOffset oldestOffset) {
            super(message, null);
            this.oldestOffset = oldestOffset;
        }

        /** Returns the oldest offset that the log still keeps. */
        public LogOffset oldestOffset() {
            return oldestOffset;
        }
    }
}

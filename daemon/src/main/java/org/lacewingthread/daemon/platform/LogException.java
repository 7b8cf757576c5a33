package org.lacewingthread.daemon.platform;

import org.lacewingthread.core.id.LogOffset;

/** Thrown when a call to the platform's log fails. The subclasses state whether an append may have taken effect. */
public abstract sealed class LogException extends Exception {
    private LogException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Thrown when the call certainly had no effect: nothing was appended or read. */
    public static final class Unavailable extends LogException {
        /** Creates an exception; the cause may be null. */
        public Unavailable(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Thrown when an append failed and it is unknown whether the record was appended. */
    public static final class OutcomeUnknown extends LogException {
        /** Creates an exception; the cause may be null. */
        public OutcomeUnknown(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Thrown when the log rejected the record because the append rate limit was exceeded; nothing was appended. */
    public static final class RateExceeded extends LogException {
        private final long retryAfterMillis;

        /** Creates an exception with the time to wait before the next attempt, in milliseconds. */
        public RateExceeded(String message, long retryAfterMillis) {
            super(message, null);
            this.retryAfterMillis = retryAfterMillis;
        }

        /** Returns how long to wait before the next attempt, in milliseconds. */
        public long retryAfterMillis() {
            return retryAfterMillis;
        }
    }

    /** Thrown when the requested records have expired from the log. */
    public static final class Expired extends LogException {
        private final LogOffset oldestOffset;

        /** Creates an exception with the oldest offset that can still be read. */
        public Expired(String message, LogOffset oldestOffset) {
            super(message, null);
            this.oldestOffset = oldestOffset;
        }

        /** Returns the oldest offset that can still be read. */
        public LogOffset oldestOffset() {
            return oldestOffset;
        }
    }
}

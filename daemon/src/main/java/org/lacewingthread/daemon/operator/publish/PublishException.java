package org.lacewingthread.daemon.operator.publish;

import java.util.List;
import java.util.stream.Collectors;
import org.lacewingthread.core.config.ConfigurationValidator;

/** Thrown when a record was not published or it is unknown whether it was. */
public abstract sealed class PublishException extends Exception {
    private static final long serialVersionUID = 1L;

    private PublishException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Thrown when an earlier change conflicts with the record. The record had no effect and never will. */
    public static final class Conflict extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception with the reason of the conflict. */
        public Conflict(String message) {
            super(message, null);
        }
    }

    /** Thrown when the record is not valid in itself. It had no effect and never will. */
    public static final class Invalid extends PublishException {
        private static final long serialVersionUID = 1L;

        private final transient List<ConfigurationValidator.Problem> problems;

        /** Creates an exception with a reason and without configuration problems; the cause may be null. */
        public Invalid(String message, Throwable cause) {
            super(message, cause);
            problems = List.of();
        }

        /** Creates an exception from problems of a configuration; the message lists them. */
        public Invalid(List<ConfigurationValidator.Problem> problems) {
            super(problems.stream().map(Object::toString).collect(Collectors.joining("; ")), null);
            this.problems = List.copyOf(problems);
        }

        /** Returns the problems of the configuration; empty if the exception was created from a reason. */
        public List<ConfigurationValidator.Problem> problems() {
            return problems;
        }
    }

    /** Thrown when the record was certainly not appended to the log and will not be. */
    public static final class NotPublished extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception; the cause may be null. */
        public NotPublished(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** Thrown when the record may have taken effect or may still do so. */
    public static final class OutcomeUnknown extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates an exception; the cause may be null. */
        public OutcomeUnknown(String message, Throwable cause) {
            super(message, cause);
        }
    }
}

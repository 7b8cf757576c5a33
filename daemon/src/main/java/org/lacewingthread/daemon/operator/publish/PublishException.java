package org.lacewingthread.daemon.operator.publish;

import java.util.List;
import java.util.stream.Collectors;
import org.lacewingthread.core.config.ConfigurationValidator;

/** A record was not published, or it is not known whether it was. */
public abstract sealed class PublishException extends Exception {
    private static final long serialVersionUID = 1L;

    private PublishException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Another change came first; the record took no effect and never will. */
    public static final class Conflict extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates one. */
        public Conflict(String message) {
            super(message, null);
        }
    }

    /** The record breaks a rule by itself; it took no effect and never will. */
    public static final class Invalid extends PublishException {
        private static final long serialVersionUID = 1L;

        private final transient List<ConfigurationValidator.Problem> problems;

        /** Creates one from a reason. */
        public Invalid(String message, Throwable cause) {
            super(message, cause);
            problems = List.of();
        }

        /** Creates one from problems of a configuration. */
        public Invalid(List<ConfigurationValidator.Problem> problems) {
            super(problems.stream().map(Object::toString).collect(Collectors.joining("; ")), null);
            this.problems = List.copyOf(problems);
        }

        /** Returns the problems of the configuration; empty if the record was no configuration. */
        public List<ConfigurationValidator.Problem> problems() {
            return problems;
        }
    }

    /** The record provably did not reach the log and will not. */
    public static final class NotPublished extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates one. */
        public NotPublished(String message, Throwable cause) {
            super(message, cause);
        }
    }

    /** The record may take effect or may have taken effect. */
    public static final class OutcomeUnknown extends PublishException {
        private static final long serialVersionUID = 1L;

        /** Creates one. */
        public OutcomeUnknown(String message, Throwable cause) {
            super(message, cause);
        }
    }
}

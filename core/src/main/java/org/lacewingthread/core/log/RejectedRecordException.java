package org.lacewingthread.core.log;

/** Thrown when a record does not meet the condition under which it is accepted. */
final class RejectedRecordException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ApplyResult result;

    private RejectedRecordException(ApplyResult result) {
        super(result.reason(), null, false, false);
        this.result = result;
    }

    static RejectedRecordException conflict(String reason) {
        return new RejectedRecordException(new ApplyResult(ApplyResult.Outcome.CONFLICT, reason));
    }

    static RejectedRecordException malformed(String reason) {
        return new RejectedRecordException(new ApplyResult(ApplyResult.Outcome.MALFORMED, reason));
    }

    ApplyResult result() {
        return result;
    }
}

package org.lacewingthread.core.log;

/**
 * What {@link LogReplica#apply} did with an entry.
 *
 * @param outcome the outcome
 * @param reason why the entry changed nothing; empty if it was accepted
 */
public record ApplyResult(Outcome outcome, String reason) {
    /** The entry took hold. */
    public static final ApplyResult ACCEPTED = new ApplyResult(Outcome.ACCEPTED, "");

    /** What became of an entry. */
    public enum Outcome {
        /** It took hold. */
        ACCEPTED(true),
        /** Its writer wrote a record with this or a higher sequence before. */
        DUPLICATE(true),
        /** Its condition does not hold any more. */
        CONFLICT(true),
        /** It can't be read or breaks a rule by itself. */
        MALFORMED(true),
        /** The replica has applied this offset before. */
        ALREADY_APPLIED(false),
        /** Entries between the last one applied and this one are missing. */
        GAP(false);

        private final boolean consumed;

        Outcome(boolean consumed) {
            this.consumed = consumed;
        }

        /** Returns whether the replica's applied offset moved to the entry. */
        public boolean isConsumed() {
            return consumed;
        }
    }

    /** Returns whether the entry took hold. */
    public boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }
}

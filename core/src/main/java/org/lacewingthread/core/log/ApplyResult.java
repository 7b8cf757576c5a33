package org.lacewingthread.core.log;

/**
 * Result of applying one entry with {@link LogReplica#apply}.
 *
 * @param outcome whether the entry was applied, and if not, the kind of failure
 * @param reason why the entry was not applied; empty if it was accepted
 */
public record ApplyResult(Outcome outcome, String reason) {
    /** Result of an accepted entry. */
    public static final ApplyResult ACCEPTED = new ApplyResult(Outcome.ACCEPTED, "");

    /** Outcome of applying an entry. */
    public enum Outcome {
        /** The record was applied to the state. */
        ACCEPTED(true),
        /** The log already contains a record of the same writer with this or a higher sequence number. */
        DUPLICATE(true),
        /** The record was valid, but its condition does not hold for the current state. */
        CONFLICT(true),
        /** The record cannot be decoded or is invalid. */
        MALFORMED(true),
        /** The replica has already applied this offset. */
        ALREADY_APPLIED(false),
        /** Entries between the last applied entry and this one are missing. */
        GAP(false);

        private final boolean consumed;

        Outcome(boolean consumed) {
            this.consumed = consumed;
        }

        /** Returns whether the replica advanced its applied offset to the entry. */
        public boolean isConsumed() {
            return consumed;
        }
    }

    /** Returns whether the record was applied to the state. */
    public boolean isAccepted() {
        return outcome == Outcome.ACCEPTED;
    }
}

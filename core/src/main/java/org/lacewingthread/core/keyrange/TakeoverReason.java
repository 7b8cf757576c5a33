package org.lacewingthread.core.keyrange;

/** Why the former owner of a moving range can't hold the keys any more. */
public enum TakeoverReason {
    /** The former owner answered that it has released the keys. */
    RELEASED,
    /** The former owner has ended: another server answered at its address. */
    ENDED,
    /** The new owner is a later start of the former one, which has ended. */
    RESTARTED,
    /** No grant to the former owner can be in force any more. */
    EXPIRED;

    /**
     * Returns the reason that an answered release gives.
     *
     * @throws IllegalArgumentException if the outcome is unknown, since the former owner may still hold the keys
     */
    static TakeoverReason of(ReleaseOutcome outcome) {
        return switch (outcome) {
            case RELEASED -> RELEASED;
            case SERVER_REPLACED -> ENDED;
            case UNKNOWN -> throw new IllegalArgumentException("a release with unknown outcome permits no takeover");
        };
    }
}

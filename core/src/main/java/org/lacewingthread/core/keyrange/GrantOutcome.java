package org.lacewingthread.core.keyrange;

/** The result of a grant. */
public enum GrantOutcome {
    /** The server accepted the grant and holds the keys. */
    GRANTED,
    /**
     * A server accepted a grant on a connection that had carried earlier ones. Answers name no grant, so this may be a second
     * answer to an earlier one, and the grant itself may still take effect.
     */
    GRANTED_IN_DOUBT,
    /** The server refused the grant because it has seen a higher fence on some of the keys. */
    FENCED,
    /** Another server answered at the address, so the intended one has ended and holds no keys. */
    SERVER_REPLACED,
    /** There was no usable answer; the grant may still take effect. */
    UNKNOWN,
    /** The call was never handed to a connection, so the grant can't take effect. */
    NOT_SENT;

    /** Returns whether a server accepted the grant, or seems to have. */
    public boolean isGranted() {
        return this == GRANTED || this == GRANTED_IN_DOUBT;
    }

    /** Returns whether a server answered. */
    public boolean isAnswer() {
        return this != UNKNOWN && this != NOT_SENT;
    }
}

package org.lacewingthread.core.keyrange;

/** How a grant ended. */
public enum GrantOutcome {
    /** The server holds the keys. */
    GRANTED,
    /** The server has seen a higher fence on some of the keys. */
    FENCED,
    /** Another server has the address, so this one has ended and holds nothing. */
    SERVER_REPLACED,
    /** No usable answer; the grant may still take effect. */
    UNKNOWN
}

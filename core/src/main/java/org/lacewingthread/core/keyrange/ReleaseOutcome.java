package org.lacewingthread.core.keyrange;

/** How a release ended. */
public enum ReleaseOutcome {
    /** The server has let go of the keys, and its work on them has ended. */
    RELEASED,
    /** Another server has the address, so this one has ended and holds nothing. */
    SERVER_REPLACED,
    /** No usable answer. */
    UNKNOWN
}

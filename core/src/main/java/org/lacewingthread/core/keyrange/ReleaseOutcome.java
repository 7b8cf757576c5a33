package org.lacewingthread.core.keyrange;

/** The result of a release. */
public enum ReleaseOutcome {
    /** The server no longer holds the keys, and its running requests for them have ended. */
    RELEASED,
    /** Another server answered at the address, so the intended one has ended and holds no keys. */
    SERVER_REPLACED,
    /** There was no usable answer; the server may still hold the keys. */
    UNKNOWN
}

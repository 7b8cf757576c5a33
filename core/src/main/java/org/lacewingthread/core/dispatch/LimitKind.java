package org.lacewingthread.core.dispatch;

/** Where the limit of a server comes from. */
public enum LimitKind {
    /** The server named it in a response. */
    NAMED,
    /** The server is cold, and the configuration states what a cold server of its service tolerates. */
    COLD
}

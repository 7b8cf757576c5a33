package org.lacewingthread.core.dispatch;

/** Why a request is refused without having been sent. */
public enum RefusalCause {
    /** No server can serve it before its deadline. */
    OVERLOADED,
    /** Its key has no owner, and none is expected before the deadline. */
    NO_OWNER,
    /** The owner of its key has left or was replaced, and no other has taken over yet. */
    OWNER_GONE,
    /** Connections to the owner of its key can't be made just now. */
    OWNER_UNREACHABLE,
    /** The service has no server that takes new work. */
    NO_SERVER,
    /** Its deadline passed while it waited. */
    DEADLINE_PASSED
}

package org.lacewingthread.core.dispatch;

/** Why a request is refused without having been sent. */
public enum RefusalCause {
    /** No server can serve it before its deadline. */
    OVERLOADED,
    /** Its key has no usable owner, and none is expected before the deadline. */
    NO_OWNER,
    /** The service has no server that takes new work. */
    NO_SERVER,
    /** Its deadline passed while it waited. */
    DEADLINE_PASSED
}

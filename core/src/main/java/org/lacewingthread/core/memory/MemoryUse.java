package org.lacewingthread.core.memory;

/** What memory is held for, which decides what can be done when there is too little of it. */
public enum MemoryUse {
    /** A request that a caller has not sent completely: its connection can be paused, refused or closed. */
    INCOMPLETE_REQUEST(true, true),
    /** A complete request that waits for a server or its response; it was promised an outcome, so it stays. */
    COMPLETE_REQUEST(false, false),
    /** The part of a request that its server has not taken; the attempt can fail. */
    UNSENT_REQUEST(false, true),
    /** A response that a server has not sent completely; the attempt can fail. */
    INCOMPLETE_RESPONSE(false, true),
    /** A complete response that its caller has not taken; its connection can be closed. */
    UNTAKEN_RESPONSE(false, true),
    /** A complete response on its way to another VM; the end of that connection would lose those of other requests. */
    RELAYED_RESPONSE(false, false);

    private final boolean pausable;
    private final boolean evictable;

    MemoryUse(boolean pausable, boolean evictable) {
        this.pausable = pausable;
        this.evictable = evictable;
    }

    /** Returns whether its sender can be kept from sending more. */
    public boolean isPausable() {
        return pausable;
    }

    /** Returns whether it can be given up when the memory is used up. */
    public boolean isEvictable() {
        return evictable;
    }
}

package org.lacewingthread.core.memory;

/** Carries out what a {@link MemoryAccount} decides about one holding. */
public interface MemoryHolder {
    /** Stops reading from the sender. */
    void onPaused();

    /** Reads from the sender again. */
    void onResumed();

    /**
     * Gives up the request or response. The account has released the holding already.
     *
     * @param reason why, for the log
     */
    void onEvicted(EvictionReason reason);
}

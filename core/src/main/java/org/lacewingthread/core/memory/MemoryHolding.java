package org.lacewingthread.core.memory;

/** The bytes that a {@link MemoryAccount} counts for one request or response; a handle without methods of its own. */
public final class MemoryHolding {
    final String owner;
    final MemoryHolder holder;
    MemoryUse use;
    long heldBytes;
    /** Bytes that are expected beside the held ones, until the request is complete. */
    long expectedBytes;

    long progressMillis;
    /** Bytes received since {@link #windowStartMillis}. */
    long windowBytes;

    long windowStartMillis;
    /** Whether the last whole window had fewer bytes than the minimum rate. */
    boolean slow;

    boolean paused;
    boolean released;

    MemoryHolding(String owner, MemoryUse use, MemoryHolder holder, long nowMillis) {
        this.owner = owner;
        this.use = use;
        this.holder = holder;
        progressMillis = nowMillis;
        restartWindow(nowMillis);
    }

    /** Returns the bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns whether the sender must send no more for now. */
    public boolean isPaused() {
        return paused;
    }

    /** Measures the rate anew, for example because the sender could not send. */
    void restartWindow(long nowMillis) {
        windowStartMillis = nowMillis;
        windowBytes = 0;
        slow = false;
    }

    long committedBytes() {
        return heldBytes + (paused ? 0 : expectedBytes);
    }
}

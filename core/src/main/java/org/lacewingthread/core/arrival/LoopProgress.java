package org.lacewingthread.core.arrival;

/**
 * Tells up to what time an event loop has read its sockets. A pass asks for the sockets that can be read, and then reads
 * them; so a pass that follows another one shows that everything that had arrived before the other one began was read.
 *
 * <pre>{@code
 * LoopProgress loop = new LoopProgress(nowMillis);
 * loop.onPass(nowMillis); // before each request for the sockets that can be read
 * long arrivedAfterMillis = loop.readUntilMillis();
 * }</pre>
 *
 * <p>Confined to the event loop.
 */
public final class LoopProgress {
    private long passStartedMillis;
    private long readUntilMillis;

    /** Creates the progress of a loop that begins now. */
    public LoopProgress(long nowMillis) {
        passStartedMillis = nowMillis;
        readUntilMillis = nowMillis;
    }

    /**
     * Records the beginning of a pass.
     *
     * @return how long ago the last pass began, in milliseconds
     */
    public long onPass(long nowMillis) {
        long sinceLastMillis = nowMillis - passStartedMillis;
        readUntilMillis = passStartedMillis;
        passStartedMillis = nowMillis;
        return sinceLastMillis;
    }

    /**
     * Returns the time before which everything that had arrived was read, by the clock of the passes, in milliseconds. It
     * holds for sockets that the loop watched then and that are emptied by one read.
     */
    public long readUntilMillis() {
        return readUntilMillis;
    }
}

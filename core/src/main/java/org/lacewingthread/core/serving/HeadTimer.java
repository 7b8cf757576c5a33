package org.lacewingthread.core.serving;

/**
 * Decides which request heads took too long. Counts only the time in which this process ran, since it reads nothing in a
 * pause, whatever callers send.
 *
 * <pre>{@code
 * HeadTimer timer = new HeadTimer();
 * timer.tick(nowMillis);
 * long startedMillis = timer.runningMillis(nowMillis);
 * ...
 * timer.tick(nowMillis);
 * boolean late = timer.isLate(startedMillis, limitMillis, nowMillis);
 * }</pre>
 *
 * <p>Not safe for use by several threads.
 */
public final class HeadTimer {
    /** After a longer gap between ticks this process did not run. */
    static final long MAX_TICK_GAP_MILLIS = 500;

    private long lastTickMillis;
    private long runningMillis;

    /** Records that the process runs; to be called several times within {@link #MAX_TICK_GAP_MILLIS} ms. */
    public void tick(long nowMillis) {
        runningMillis = runningMillis(nowMillis);
        lastTickMillis = nowMillis;
    }

    /** Returns the time in which the process ran; a gap that is too long counts as none. */
    public long runningMillis(long nowMillis) {
        long gapMillis = nowMillis - lastTickMillis;
        return gapMillis > MAX_TICK_GAP_MILLIS ? runningMillis : runningMillis + gapMillis;
    }

    /**
     * Returns whether a head that is not complete has taken too long.
     *
     * @param startedMillis {@link #runningMillis} at its first byte
     * @param limitMillis time that it may take
     */
    public boolean isLate(long startedMillis, long limitMillis, long nowMillis) {
        return runningMillis(nowMillis) - startedMillis > limitMillis;
    }
}

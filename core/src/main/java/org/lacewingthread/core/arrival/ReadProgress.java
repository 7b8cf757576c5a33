package org.lacewingthread.core.arrival;

/**
 * Tells up to what time one connection was read, and so when what was read last can have arrived at the earliest.
 *
 * <pre>{@code
 * ReadProgress reads = new ReadProgress(loop, nowMillis);
 * reads.onRead(foundBytes, nowMillis);
 * long deadlineMillis = reads.arrivedMillis() + waitMillis;
 * }</pre>
 *
 * <p>Answers the load of a process that is held up or short of processor time. Confined to the event loop.
 */
public final class ReadProgress {
    /** Age up to which a connection counts as read; several passes of a loop that is not held up. */
    public static final long MAX_AGE_MILLIS = 50;

    private final LoopProgress loop;
    /** Since when the loop finds whatever is left to read; {@link Long#MAX_VALUE} while it does not look. */
    private long watchedSinceMillis;

    private long emptyAtMillis;
    private long arrivedMillis;

    /** Creates the progress of a socket that is empty now. */
    public ReadProgress(LoopProgress loop, long nowMillis) {
        this(loop, nowMillis, nowMillis);
    }

    /**
     * Creates the progress of a connection that was accepted now.
     *
     * @param openedAfterMillis time after which it was opened, and what it holds arrived
     */
    public ReadProgress(LoopProgress loop, long openedAfterMillis, long nowMillis) {
        this.loop = loop;
        watchedSinceMillis = nowMillis;
        emptyAtMillis = openedAfterMillis;
        arrivedMillis = nowMillis;
    }

    /**
     * Records a read.
     *
     * @param foundBytes whether it found bytes, behind which the end of the connection may wait
     */
    public void onRead(boolean foundBytes, long nowMillis) {
        arrivedMillis = isCurrent(nowMillis) ? nowMillis : readUntilMillis();
        emptyAtMillis = foundBytes ? readUntilMillis() : nowMillis;
        if (foundBytes && isWatched()) {
            watchedSinceMillis = nowMillis;
        }
    }

    /** Records that the loop no longer reads what arrives, or does so again. */
    public void onWatched(boolean watched, long nowMillis) {
        if (watched == isWatched()) {
            return;
        }
        emptyAtMillis = readUntilMillis();
        watchedSinceMillis = watched ? nowMillis : Long.MAX_VALUE;
    }

    private boolean isWatched() {
        return watchedSinceMillis != Long.MAX_VALUE;
    }

    /**
     * Returns the time before which everything that had arrived was read, the end of the connection included, in
     * milliseconds.
     */
    public long readUntilMillis() {
        // A pass that began after the last read found nothing here, or there would have been another read.
        boolean byLoop = loop.readUntilMillis() > watchedSinceMillis;
        return byLoop ? Math.max(emptyAtMillis, loop.readUntilMillis()) : emptyAtMillis;
    }

    /** Returns whether nothing can have waited long to be read. */
    public boolean isCurrent(long nowMillis) {
        return nowMillis - readUntilMillis() <= MAX_AGE_MILLIS;
    }

    /**
     * Returns when what the last read brought arrived, in milliseconds: the time of the read if the connection was current,
     * and else the earliest time at which it can have arrived.
     */
    public long arrivedMillis() {
        return arrivedMillis;
    }
}

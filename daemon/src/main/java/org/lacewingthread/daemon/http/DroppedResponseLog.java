package org.lacewingthread.daemon.http;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.lacewingthread.daemon.events.EventLog;

/**
 * Counts responses that counted for no request, and writes a line for each of them up to a limit per second.
 *
 * <pre>{@code
 * DroppedResponseLog log = new DroppedResponseLog(events, clockMillis);
 * pool.setDropListener(log::onDropped);
 * }</pre>
 *
 * <p>{@link #onDropped} is called on one thread; {@link #count} on any.
 */
public final class DroppedResponseLog {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventLog events;
    private final LongSupplier clockMillis;
    private final AtomicLong count = new AtomicLong();
    private long secondEndsAtMillis = Long.MIN_VALUE;
    private int linesInSecond;
    private long unlisted;

    /**
     * Creates a log.
     *
     * @param clockMillis monotonic clock in milliseconds
     */
    public DroppedResponseLog(EventLog events, LongSupplier clockMillis) {
        this.events = events;
        this.clockMillis = clockMillis;
    }

    /** Counts a response of a peer. */
    public void onDropped(Object peer, DroppedResponse dropped) {
        count.incrementAndGet();
        long nowMillis = clockMillis.getAsLong();
        if (nowMillis >= secondEndsAtMillis) {
            secondEndsAtMillis = nowMillis + MILLIS_PER_SECOND;
            linesInSecond = 0;
        }
        if (++linesInSecond > MAX_LINES_PER_SECOND) {
            unlisted++;
            return;
        }
        events.write(
                "response.dropped",
                "peer",
                peer,
                "expected",
                dropped.expectedId().orElse(null),
                "received",
                dropped.receivedId().orElse(null),
                "status",
                dropped.status().isPresent() ? dropped.status().getAsInt() : null,
                "reason",
                dropped.reason(),
                "unlisted",
                unlisted == 0 ? null : unlisted);
        unlisted = 0;
    }

    /** Returns the number of responses that were dropped. */
    public long count() {
        return count.get();
    }
}

package org.lacewingthread.core.membership;

/**
 * Knows when the store last answered this VM, by its answered calls of any kind. An answered call shows that the store answered
 * when the call was sent, or when the wait that the call allowed was over, and not later: a slow store is silent meanwhile.
 *
 * <pre>{@code
 * answers.onAnswered(sentMillis, waitMillis, nowMillis);
 * monitor.onTurn(leading, registryAgeMillis, nowMillis - answers.lastMillis(), nowMillis);
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class StoreAnswers {
    /** Time of an answer if there was none yet. */
    public static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private long lastMillis = NEVER_MILLIS;

    /**
     * Records an answered call.
     *
     * @param sentMillis when it was sent
     * @param waitMillis how long the store was allowed to wait before it answered
     * @param nowMillis when the answer arrived
     */
    public void onAnswered(long sentMillis, long waitMillis, long nowMillis) {
        lastMillis = Math.max(lastMillis, Math.min(sentMillis + waitMillis, nowMillis));
    }

    /** Returns the latest time at which the store is known to have answered; {@link #NEVER_MILLIS} if it never did. */
    public long lastMillis() {
        return lastMillis;
    }
}

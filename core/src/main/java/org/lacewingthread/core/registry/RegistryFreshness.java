package org.lacewingthread.core.registry;

import java.util.function.LongSupplier;

/**
 * Tells whether the view of the registry is young enough to send requests to servers that were last known to stay. A
 * server may have begun to leave right after the view, and no request may arrive there once its drain time is over.
 *
 * <p>An old view stops requests only while the store would answer: a VM that has lost the store goes on with what it
 * knows, since its callers may have no other VM.
 *
 * <pre>{@code
 * freshness.onCurrent(ageMillis);              // control thread: all changes up to that age are known
 * if (freshness.allowsRequests()) { ... }      // traffic thread, at each send
 * }</pre>
 *
 * <p>Safe for use by several threads. Times are in milliseconds.
 */
public final class RegistryFreshness {
    /** Age from which the view no longer stops requests, since this VM doesn't get the store's answers. */
    private static final long MAX_WITHHOLDING_AGE_MILLIS = 5_000;

    private final long maxAgeMillis;
    private final LongSupplier clockMillis;
    private volatile long currentAsOfMillis = Long.MIN_VALUE / 2;
    private volatile boolean storeSilent;

    /**
     * Creates the state of a process that knows no server.
     *
     * @param drainMillis time from a server's drain after which no request may arrive there
     * @param clockMillis monotonic clock
     */
    public RegistryFreshness(long drainMillis, LongSupplier clockMillis) {
        this.maxAgeMillis = drainMillis - ServerRegistry.MAX_DELIVERY_MILLIS;
        this.clockMillis = clockMillis;
    }

    /** Records that every change is known that the registry accepted until a time ago; an older one has no effect. */
    public synchronized void onCurrent(long ageMillis) {
        currentAsOfMillis = Math.max(currentAsOfMillis, clockMillis.getAsLong() - ageMillis);
        storeSilent = false;
    }

    /** Records that the store left a read unanswered, or refused it. */
    public void onStoreSilent() {
        storeSilent = true;
    }

    /** Returns the age of the view. */
    public long ageMillis() {
        return clockMillis.getAsLong() - currentAsOfMillis;
    }

    /** Returns whether requests may be sent to servers that are not known to leave. */
    public boolean allowsRequests() {
        long ageMillis = ageMillis();
        return ageMillis < maxAgeMillis || storeSilent || ageMillis >= MAX_WITHHOLDING_AGE_MILLIS;
    }
}

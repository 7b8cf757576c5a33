package org.lacewingthread.core.registry;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Tells whether the view of the registry, or of the evacuated data centres, is young enough to send requests to servers
 * that were last known to stay. A server may have begun to leave right after the view, and no request may arrive there
 * once its drain time, or the time of the evacuation, is over.
 *
 * <p>An old view stops requests only while the store would answer: a VM that has lost the store goes on with what it
 * knows, since its callers may have no other VM.
 *
 * <pre>{@code
 * ServerRegistry registry = new ServerRegistry(outageGraceMillis, drainMillis, freshness);
 * registry.onCurrent(asOfMillis);              // control thread: all changes up to a time are known
 * if (freshness.allowsRequests()) { ... }      // traffic thread, at each send
 * }</pre>
 *
 * <p>Safe for use by several threads. Times are in milliseconds.
 */
public final class RegistryFreshness {
    /** Age from which the view no longer stops requests, since this VM doesn't get the store's answers. */
    private static final long MAX_WITHHOLDING_AGE_MILLIS = 5_000;

    /** Time of a view that nothing has been read for. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final long maxAgeMillis;
    private final long maxWithholdingAgeMillis;
    private final LongSupplier clockMillis;
    private final LongSupplier registryClockMillis;
    private volatile long currentAsOfMillis = NEVER;
    private volatile boolean storeSilent;

    /**
     * Creates the state of a process that knows no server.
     *
     * @param drainMillis time from a server's drain after which no request may arrive there
     * @param clockMillis monotonic clock that does not count suspensions of the machine, after which requests are excused
     * @param registryClockMillis clock of the registry's times
     */
    public RegistryFreshness(long drainMillis, LongSupplier clockMillis, LongSupplier registryClockMillis) {
        this(drainMillis, MAX_WITHHOLDING_AGE_MILLIS, clockMillis, registryClockMillis);
    }

    /**
     * Creates the same state of another view.
     *
     * @param leaveMillis time from the beginning of a leave after which no request may arrive
     * @param maxWithholdingAgeMillis age from which the view no longer stops requests
     */
    public RegistryFreshness(
            long leaveMillis,
            long maxWithholdingAgeMillis,
            LongSupplier clockMillis,
            LongSupplier registryClockMillis) {
        this.maxAgeMillis = leaveMillis - ServerRegistry.MAX_DELIVERY_MILLIS;
        this.maxWithholdingAgeMillis = maxWithholdingAgeMillis;
        this.clockMillis = clockMillis;
        this.registryClockMillis = registryClockMillis;
    }

    /** Records that every change is known that the store accepted up to a time; an earlier one has no effect. */
    public synchronized void onCurrent(long asOfMillis) {
        long ageMillis = registryClockMillis.getAsLong() - asOfMillis;
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

    /** Returns the age of the view; empty if nothing has been read yet. */
    public OptionalLong knownAgeMillis() {
        return currentAsOfMillis == NEVER ? OptionalLong.empty() : OptionalLong.of(ageMillis());
    }

    /** Returns whether requests may be sent to servers that are not known to leave. */
    public boolean allowsRequests() {
        long ageMillis = ageMillis();
        return ageMillis < maxAgeMillis || storeSilent || ageMillis >= maxWithholdingAgeMillis;
    }
}

package org.lacewingthread.core.membership;

import java.util.function.DoubleSupplier;

/**
 * Decides when a VM that the store turns away calls it again. While the leader confirms what a call would bring, one call
 * of all kinds probes the store, after delays that double up to {@link #MAX_DELAY_MILLIS}. A call whose result nobody
 * confirms is never held back, since drains and configurations must be known in time.
 *
 * <pre>{@code
 * if (backoff.mayCall(leaderConfirmsView, nowMillis)) {
 *     call(answered -> backoff.onEnded(answered, sentAtMillis, clock.nowMillis()));
 * }
 * }</pre>
 *
 * <p>Times are in milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class StoreBackoff {
    /** Longest delay; a store that answers again is noticed within it. */
    public static final long MAX_DELAY_MILLIS = 1_000;

    /** Delay after the first failure, the usual pause before a failed read is repeated. */
    static final long FIRST_DELAY_MILLIS = 200;
    /** Shortest part of a delay that is waited; the rest is random, so that VMs that failed together don't call together. */
    private static final double MIN_DELAY_SHARE = 0.6;

    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final DoubleSupplier random;
    private boolean failing;
    private long delayMillis;
    private long lastFailureMillis = NEVER_MILLIS;
    private long nextProbeMillis = NEVER_MILLIS;
    private long heldBackCalls;

    /**
     * Creates the state of a VM whose calls are answered.
     *
     * @param random returns numbers from 0 to 1, the latter excluded, for the random part of the delays
     */
    public StoreBackoff(DoubleSupplier random) {
        this.random = random;
    }

    /**
     * Returns whether a call may be made now; one that may while the store fails counts as the probe, so that no other one
     * follows before its delay is over.
     *
     * @param confirmed whether the leader confirms that what is known here is current
     */
    public boolean mayCall(boolean confirmed, long nowMillis) {
        if (!failing || !confirmed) {
            return true;
        }
        if (nowMillis < nextProbeMillis) {
            heldBackCalls++;
            return false;
        }
        nextProbeMillis = nowMillis + randomDelayMillis();
        return true;
    }

    /**
     * Records how a call ended. One that was sent before the newest failure shows nothing new.
     *
     * @param answered whether the store answered it
     * @param sentAtMillis when it was sent
     */
    public void onEnded(boolean answered, long sentAtMillis, long nowMillis) {
        if (failing && sentAtMillis < lastFailureMillis) {
            return;
        }
        if (answered) {
            failing = false;
            return;
        }
        delayMillis = failing ? Math.min(MAX_DELAY_MILLIS, 2 * delayMillis) : FIRST_DELAY_MILLIS;
        failing = true;
        lastFailureMillis = nowMillis;
        nextProbeMillis = nowMillis + randomDelayMillis();
    }

    private long randomDelayMillis() {
        return Math.round(delayMillis * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * random.getAsDouble()));
    }

    /** Returns whether the newest call that ended was not answered. */
    public boolean isFailing() {
        return failing;
    }

    /** Returns how often a call was held back so far. */
    public long heldBackCalls() {
        return heldBackCalls;
    }
}

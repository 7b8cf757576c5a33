package org.lacewingthread.core.keyrange;

/**
 * Durations of holds and renewals, and how long a leader may act without an answer from the store.
 *
 * @param holdMillis length of the hold that a grant gives; must outlast a renewal interval and a change
 *     of leader
 * @param renewalIntervalMillis time between an answered grant and its renewal
 * @param maxStoreSilenceMillis time since the last answer of the store after which a leader takes no
 *     action, and so the time into a term after which the former leaders have stopped
 * @param maxStoreSilenceForMovesMillis time since the last answer of the store after which a leader
 *     starts no further step of a move
 * @param maxClockDriftRatio margin by which a server's clock may run slow, as a fraction of the hold
 */
public record RangeLeaseTimes(
        long holdMillis,
        long renewalIntervalMillis,
        long maxStoreSilenceMillis,
        long maxStoreSilenceForMovesMillis,
        double maxClockDriftRatio) {
    /** Renewal intervals that fit into a hold, so that one lost answer does not end the hold. */
    private static final int MIN_RENEWALS_PER_HOLD = 2;

    /**
     * Checks that the durations are consistent.
     *
     * @throws IllegalArgumentException if a hold is too short for its renewals, if moves are allowed a
     *     longer silence of the store than renewals, or if the clock margin is negative
     */
    public RangeLeaseTimes {
        if (renewalIntervalMillis <= 0 || holdMillis < renewalIntervalMillis * MIN_RENEWALS_PER_HOLD) {
            throw new IllegalArgumentException(
                    "hold of " + holdMillis + " ms with renewals every " + renewalIntervalMillis
                            + " ms: the interval must be positive and the hold at least " + MIN_RENEWALS_PER_HOLD
                            + " times as long");
        }
        if (maxStoreSilenceForMovesMillis > maxStoreSilenceMillis || maxClockDriftRatio < 0) {
            throw new IllegalArgumentException("store silence of " + maxStoreSilenceForMovesMillis
                    + " ms for moves must not exceed " + maxStoreSilenceMillis
                    + " ms, and clock drift ratio " + maxClockDriftRatio + " must not be negative");
        }
    }

    /** Returns the time after which a grant of the full hold that reached its server by a time can't be in force. */
    public long heldUntilMillis(long latestArrivalMillis) {
        return heldUntilMillis(latestArrivalMillis, holdMillis);
    }

    /**
     * Returns the time after which a grant that reached its server by a time can't be in force.
     *
     * @param grantedHoldMillis hold that the grant states
     */
    public long heldUntilMillis(long latestArrivalMillis, long grantedHoldMillis) {
        return latestArrivalMillis + Math.round(grantedHoldMillis * (1 + maxClockDriftRatio));
    }

    /**
     * Returns the longest hold, in milliseconds, that a grant may state so that it ends by a time even if
     * the grant arrives as late as possible; may be negative.
     */
    public long holdMillisEndingBy(long untilMillis, long latestArrivalMillis) {
        return Math.min(holdMillis, (long) ((untilMillis - latestArrivalMillis) / (1 + maxClockDriftRatio)));
    }
}

package org.lacewingthread.core.keyrange;

/**
 * Lengths that decide how long keys stay with a server.
 *
 * @param holdMillis length of each grant; has to outlast a renewal interval and a change of leader
 * @param renewalIntervalMillis interval of renewals
 * @param maxStoreSilenceMillis how long a leader goes on renewing without word from the store
 * @param maxStoreSilenceForMovesMillis how recent word from the store must be for steps of a move
 * @param maxClockDriftRatio how much slower a server's clock may run, as a share
 */
public record RangeLeaseTimes(
        long holdMillis,
        long renewalIntervalMillis,
        long maxStoreSilenceMillis,
        long maxStoreSilenceForMovesMillis,
        double maxClockDriftRatio) {
    /** Grant attempts that a hold must have room for, so that one lost answer ends no hold. */
    private static final int MIN_RENEWALS_PER_HOLD = 2;

    /** Checks that the lengths fit each other. */
    public RangeLeaseTimes {
        if (renewalIntervalMillis <= 0 || holdMillis < renewalIntervalMillis * MIN_RENEWALS_PER_HOLD) {
            throw new IllegalArgumentException("a hold of " + holdMillis + " ms is too short for renewals every "
                    + renewalIntervalMillis + " ms; use at least " + MIN_RENEWALS_PER_HOLD + " times as long");
        }
        if (maxStoreSilenceForMovesMillis > maxStoreSilenceMillis || maxClockDriftRatio < 0) {
            throw new IllegalArgumentException("moves confirmed within " + maxStoreSilenceForMovesMillis
                    + " ms, silence of " + maxStoreSilenceMillis + " ms and a clock margin of " + maxClockDriftRatio
                    + " do not fit each other");
        }
    }

    /** Returns when a grant that reached a server by a time can no longer be in force. */
    public long heldUntilMillis(long latestArrivalMillis) {
        return latestArrivalMillis + Math.round(holdMillis * (1 + maxClockDriftRatio));
    }

    /** Returns the longest hold of a grant that is over by a time, however late it arrives; may be negative. */
    public long holdMillisEndingBy(long untilMillis, long latestArrivalMillis) {
        return Math.min(holdMillis, (long) ((untilMillis - latestArrivalMillis) / (1 + maxClockDriftRatio)));
    }
}

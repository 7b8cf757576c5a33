package org.lacewingthread.core.control;

/**
 * Timing of leases. All values ending in {@code Millis} are durations in milliseconds on monotonic clocks;
 * state derived from them is stored as deadlines.
 *
 * @param heartbeatMillis interval between heartbeats
 * @param leaderLeaseMillis duration of a leader lease
 * @param electionMillis time allowed for an election
 * @param dispatchLeaseMillis duration of a dispatch lease
 * @param serverLeaseMillis duration of the lease of a backend server that checks tokens
 * @param serverRenewalMillis interval between renewals of that lease
 * @param startByMillis how long after sending a request a server may still start it
 * @param clockRateMarginRatio largest relative difference between the rates of two clocks, for example 0.02
 * @param logReadMillis interval between reads of the log
 * @param snapshotRecords number of records after which a snapshot is appended
 */
public record ControlSettings(
        long heartbeatMillis,
        long leaderLeaseMillis,
        long electionMillis,
        long dispatchLeaseMillis,
        long serverLeaseMillis,
        long serverRenewalMillis,
        long startByMillis,
        double clockRateMarginRatio,
        long logReadMillis,
        int snapshotRecords) {
    /** Time within which a key must be served again after the loss of its server or entry VM. */
    public static final long RECOVERY_TARGET_MILLIS = 2_000;

    /** Default settings, which meet {@link #RECOVERY_TARGET_MILLIS}. */
    public static final ControlSettings DEFAULT =
            new ControlSettings(125, 400, 100, 750, 850, 250, 200, 0.02, 100, 2_000);

    /**
     * Checks the relations between the durations.
     *
     * @throws IllegalArgumentException if a duration is out of range, or if recovery would take
     *     {@link #RECOVERY_TARGET_MILLIS} or longer
     */
    public ControlSettings {
        require(heartbeatMillis > 0, "heartbeatMillis " + heartbeatMillis + " must be positive");
        require(
                leaderLeaseMillis >= 3 * heartbeatMillis,
                "leaderLeaseMillis " + leaderLeaseMillis + " must be at least three heartbeats");
        require(
                leaderLeaseMillis + electionMillis < dispatchLeaseMillis - heartbeatMillis,
                "dispatchLeaseMillis " + dispatchLeaseMillis + " must outlast leader lease, election and a heartbeat");
        require(
                clockRateMarginRatio > 0 && clockRateMarginRatio < 0.2,
                "clockRateMarginRatio " + clockRateMarginRatio + " must be between 0 and 0.2");
        long leaderLossMillis =
                lengthenedByClockMargin(leaderLeaseMillis, clockRateMarginRatio) + electionMillis + startByMillis;
        requireWithinRecoveryTarget(
                "dispatch lease",
                leaderLossMillis + lengthenedByClockMargin(dispatchLeaseMillis, clockRateMarginRatio));
        requireWithinRecoveryTarget(
                "server lease", leaderLossMillis + lengthenedByClockMargin(serverLeaseMillis, clockRateMarginRatio));
    }

    private static void requireWithinRecoveryTarget(String lease, long recoveryMillis) {
        require(
                recoveryMillis < RECOVERY_TARGET_MILLIS,
                "leader lease, election, " + lease + " and start-by, with the clock margin, take " + recoveryMillis
                        + " ms; they must stay below " + RECOVERY_TARGET_MILLIS + " ms");
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Returns how long the grantor of a lease must treat it as valid: the duration plus the clock margin. */
    public long lengthenedByClockMargin(long lengthMillis) {
        return lengthenedByClockMargin(lengthMillis, clockRateMarginRatio);
    }

    private static long lengthenedByClockMargin(long lengthMillis, double marginRatio) {
        return (long) Math.ceil(lengthMillis * (1 + marginRatio));
    }

    /** Returns how long the holder of a lease may rely on it: the duration minus the clock margin. */
    public long shortenedByClockMargin(long lengthMillis) {
        return (long) Math.floor(lengthMillis * (1 - clockRateMarginRatio));
    }
}

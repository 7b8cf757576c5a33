package org.lacewingthread.core.control;

/**
 * Timing of leases. All lengths are in milliseconds on monotonic clocks; they are settings, so they
 * are durations, while all state derived from them is stored as deadlines.
 *
 * @param heartbeatMillis time between heartbeats
 * @param leaderLeaseMillis length of a leader lease
 * @param electionMillis time allowed for an election
 * @param dispatchLeaseMillis length of a dispatch lease
 * @param serverLeaseMillis length of the lease of a backend server that checks tokens
 * @param serverRenewalMillis time between its renewals
 * @param startByMillis how long after sending a request a server may still start it
 * @param clockRateMarginRatio largest difference of clock rates, for example 0.02
 * @param logReadMillis time between reads of the log
 * @param snapshotRecords records after which a snapshot is appended
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
    /** Limit within which a key must be served again after a loss. */
    public static final long RECOVERY_TARGET_MILLIS = 2_000;

    /** Defaults that meet {@link #RECOVERY_TARGET_MILLIS}. */
    public static final ControlSettings DEFAULT =
            new ControlSettings(125, 400, 100, 750, 850, 250, 200, 0.02, 100, 2_000);

    /** Checks the relations between the lengths. */
    public ControlSettings {
        require(heartbeatMillis > 0, "heartbeatMillis must be positive");
        require(
                leaderLeaseMillis >= 3 * heartbeatMillis,
                "leaderLeaseMillis " + leaderLeaseMillis + " must be at least three heartbeats");
        require(
                leaderLeaseMillis + electionMillis < dispatchLeaseMillis - heartbeatMillis,
                "dispatchLeaseMillis " + dispatchLeaseMillis + " must outlast leader lease, election and a heartbeat");
        require(
                clockRateMarginRatio > 0 && clockRateMarginRatio < 0.2,
                "clockRateMarginRatio " + clockRateMarginRatio + " must be between 0 and 0.2");
        long lossOfLeaderMillis =
                lengthenedByClockMargin(leaderLeaseMillis, clockRateMarginRatio) + electionMillis + startByMillis;
        requireWithinRecoveryTarget(
                "dispatch lease",
                lossOfLeaderMillis + lengthenedByClockMargin(dispatchLeaseMillis, clockRateMarginRatio));
        requireWithinRecoveryTarget(
                "server lease", lossOfLeaderMillis + lengthenedByClockMargin(serverLeaseMillis, clockRateMarginRatio));
    }

    private static void requireWithinRecoveryTarget(String lease, long recoveryMillis) {
        require(
                recoveryMillis < RECOVERY_TARGET_MILLIS,
                "leader lease, election, " + lease + " and start-by, with the clock margin, take " + recoveryMillis
                        + " ms; they must stay below " + RECOVERY_TARGET_MILLIS + " ms");
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalArgumentException(message);
        }
    }

    /** Returns a length as its giver must count it, lengthened by the clock margin. */
    public long lengthenedByClockMargin(long lengthMillis) {
        return lengthenedByClockMargin(lengthMillis, clockRateMarginRatio);
    }

    private static long lengthenedByClockMargin(long lengthMillis, double marginRatio) {
        return (long) Math.ceil(lengthMillis * (1 + marginRatio));
    }

    /** Returns a length as its holder must count it, shortened by the clock margin. */
    public long shortenedByClockMargin(long lengthMillis) {
        return (long) Math.floor(lengthMillis * (1 - clockRateMarginRatio));
    }
}

package org.lacewingthread.core.log;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;

/**
 * Tells a leader when to append {@link LogRecord.SnapshotTaken}, well before records that a starting
 * replica needs expire. A snapshot is due
 *
 * <ul>
 *   <li>after a number of records since the newest snapshot,
 *   <li>after a length of time since the leader saw the newest snapshot, if any record followed it, and
 *   <li>as soon as the newest snapshot lies in the older half of the records that the log still keeps
 *       and the log has begun to drop records.
 * </ul>
 *
 * <p>Leaders of several data centres wait for each other: each later one in alphabetical order
 * allows a quarter more, so that one snapshot serves all while the first is well.
 *
 * <pre>{@code
 * SnapshotPolicy policy = new SnapshotPolicy(2_000, 3_600_000);
 * if (policy.isDue(replica, dataCentre, oldestOffset, newestSnapshotSeenAtMillis, nowMillis)) {
 *     append(new LogRecord.SnapshotTaken(replica.state()));
 * }
 * }</pre>
 *
 * @param maxRecords records after which a snapshot is due
 * @param maxAgeMillis time after which a snapshot is due, in milliseconds
 */
public record SnapshotPolicy(long maxRecords, long maxAgeMillis) {
    private static final int STAGGER_DIVISOR = 4;
    private static final int RETAINED_LOG_DIVISOR = 2;

    /** Checks that the limits are positive. */
    public SnapshotPolicy {
        if (maxRecords < 1 || maxAgeMillis < 1) {
            throw new IllegalArgumentException(
                    "limits of " + maxRecords + " records and " + maxAgeMillis + " ms must be positive");
        }
    }

    /**
     * Returns whether a leader should append a snapshot now.
     *
     * @param replica the leader's replica
     * @param dataCentre the leader's data centre
     * @param oldestOffset oldest offset that the log still keeps
     * @param snapshotSeenAtMillis monotonic time at which the replica passed its newest snapshot record,
     *     or at which this process started if it passed none
     * @param nowMillis monotonic time
     */
    public boolean isDue(
            LogReplica replica,
            DataCentreId dataCentre,
            LogOffset oldestOffset,
            long snapshotSeenAtMillis,
            long nowMillis) {
        long applied = replica.state().appliedOffset().value();
        long recordsSince = applied - replica.newestSnapshotOffset().value();
        if (recordsSince < 1) {
            return false;
        }
        int rank = rankOf(replica.state(), dataCentre);
        return recordsSince >= staggered(maxRecords, rank)
                || nowMillis - snapshotSeenAtMillis >= staggered(maxAgeMillis, rank)
                || isExpiring(replica.newestSnapshotAppliedOffset().value(), applied, oldestOffset.value(), rank);
    }

    private static long staggered(long limit, int rank) {
        return limit + limit * rank / STAGGER_DIVISOR;
    }

    /** Counts the data centres with a leader claim that come before one. */
    private static int rankOf(ReplicaState state, DataCentreId dataCentre) {
        return (int) state.dataCentres().entrySet().stream()
                .filter(other -> other.getValue().claimant() != null)
                .filter(other -> other.getKey().compareTo(dataCentre) < 0)
                .count();
    }

    /** Each later data centre waits until a smaller part of the kept records is left before the snapshot. */
    private static boolean isExpiring(long covered, long applied, long oldest, int rank) {
        long kept = applied - oldest;
        long left = covered - oldest;
        return oldest > 0 && left < kept / RETAINED_LOG_DIVISOR / (rank + 1);
    }
}

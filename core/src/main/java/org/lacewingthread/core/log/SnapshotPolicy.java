package org.lacewingthread.core.log;

import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.LogOffset;

/**
 * Decides when a leader appends {@link LogRecord.SnapshotTaken}, well before the log drops records that a
 * starting replica needs. A snapshot is due
 *
 * <ul>
 *   <li>after a number of records since the newest snapshot,
 *   <li>after a time since the leader saw the newest snapshot, if any record followed it, and
 *   <li>when the newest snapshot lies in the older half of the records that the log retains, once the log
 *       has begun to drop records.
 * </ul>
 *
 * <p>The limits are staggered between the leaders of several data centres: in alphabetical order, each leader
 * waits for a quarter of the limit longer than the one before. While the first leader works, its snapshots serve
 * all data centres.
 *
 * <pre>{@code
 * SnapshotPolicy policy = new SnapshotPolicy(2_000, 3_600_000);
 * if (policy.isDue(replica, dataCentre, oldestOffset, newestSnapshotSeenAtMillis, nowMillis)) {
 *     append(new LogRecord.SnapshotTaken(replica.state()));
 * }
 * }</pre>
 *
 * @param maxRecords number of records after which a snapshot is due
 * @param maxAgeMillis age of the newest snapshot at which the next one is due, in milliseconds
 */
public record SnapshotPolicy(long maxRecords, long maxAgeMillis) {
    private static final int STAGGER_DIVISOR = 4;
    private static final int RETAINED_LOG_DIVISOR = 2;

    /** Creates a policy; throws IllegalArgumentException if a limit is not positive. */
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
     * @param oldestOffset oldest offset that the log retains
     * @param snapshotSeenAtMillis monotonic time in milliseconds at which the replica encountered the newest
     *     snapshot, or at which this process started if it has encountered none
     * @param nowMillis current monotonic time in milliseconds
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

    /** Returns the number of data centres with a claimed leadership that precede the given one. */
    private static int rankOf(ReplicaState state, DataCentreId dataCentre) {
        return (int) state.dataCentres().entrySet().stream()
                .filter(other -> other.getValue().claimant() != null)
                .filter(other -> other.getKey().compareTo(dataCentre) < 0)
                .count();
    }

    /**
     * Returns whether the newest snapshot is so old that the log may soon drop records that follow it. The
     * higher the rank, the closer to the oldest retained record the snapshot must be.
     */
    private static boolean isExpiring(long covered, long applied, long oldest, int rank) {
        long retained = applied - oldest;
        long retainedBeforeSnapshot = covered - oldest;
        return oldest > 0 && retainedBeforeSnapshot < retained / RETAINED_LOG_DIVISOR / (rank + 1);
    }
}

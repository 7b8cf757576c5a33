package org.lacewingthread.core.log;

import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;

/**
 * Folds the platform's log into {@link ReplicaState}. Every replica that is fed the same entries, in
 * whatever batches, reaches the same state: entries are taken at rising offsets without gaps, records
 * that their writer appended twice are dropped, and a record that fails the condition stated with its
 * kind in {@link LogRecord} changes nothing.
 *
 * <pre>{@code
 * LogReplica replica = new LogReplica();
 * for (LogEntry entry : entries) {
 *     ApplyResult result = replica.apply(entry);
 *     if (result.outcome() == ApplyResult.Outcome.GAP) {
 *         replica.restore(snapshotFromPeer);
 *     }
 * }
 * ReplicaState state = replica.state();
 * }</pre>
 *
 * <p>What is accepted is part of the log's format: two releases that run side by side must agree on it, so
 * a changed condition, also one of {@link org.lacewingthread.core.config.ConfigurationValidator}, needs a
 * new kind of record.
 *
 * <p>Not safe for use by several threads; the states it returns are immutable and may be shared.
 */
public final class LogReplica {
    private ReplicaState state;
    private LogOffset newestSnapshotOffset = LogOffset.NONE;
    private LogOffset newestSnapshotAppliedOffset = LogOffset.NONE;
    private long malformedCount;
    private long snapshotMismatchCount;

    /** Creates a replica at the state before the first record. */
    public LogReplica() {
        this(ReplicaState.EMPTY);
    }

    /** Creates a replica that starts from a snapshot. */
    public LogReplica(ReplicaState snapshot) {
        state = snapshot;
    }

    /** Returns the state after the last entry applied. */
    public ReplicaState state() {
        return state;
    }

    /** Returns the offset of the next entry that the replica takes. */
    public LogOffset nextOffset() {
        return state.appliedOffset().next();
    }

    /**
     * Returns the offset of the newest snapshot record that the replica has passed, {@link
     * LogOffset#NONE} if it passed none since it started.
     */
    public LogOffset newestSnapshotOffset() {
        return newestSnapshotOffset;
    }

    /** Returns the applied offset of that snapshot's state: a start from it needs the records that follow. */
    public LogOffset newestSnapshotAppliedOffset() {
        return newestSnapshotAppliedOffset;
    }

    /** Returns how many malformed records the replica has skipped. */
    public long malformedCount() {
        return malformedCount;
    }

    /** Returns how many snapshot records contradicted the replica's own state at their position. */
    public long snapshotMismatchCount() {
        return snapshotMismatchCount;
    }

    /**
     * Takes in a snapshot if it is ahead of the present state; a state never goes back.
     *
     * @return whether the snapshot was taken in
     */
    public boolean restore(ReplicaState snapshot) {
        if (!snapshot.appliedOffset().isAfter(state.appliedOffset())) {
            return false;
        }
        state = snapshot;
        return true;
    }

    /** Returns the snapshot that an entry carries, if it is ahead of the present state. */
    public Optional<ReplicaState> newerSnapshot(LogEntry entry) {
        boolean ahead = entry.body() instanceof LogRecord.SnapshotTaken snapshot
                && snapshot.state().appliedOffset().isAfter(state.appliedOffset());
        return ahead ? Optional.of(((LogRecord.SnapshotTaken) entry.body()).state()) : Optional.empty();
    }

    /** Applies an entry. */
    public ApplyResult apply(LogEntry entry) {
        if (!entry.offset().isAfter(state.appliedOffset())) {
            return new ApplyResult(
                    ApplyResult.Outcome.ALREADY_APPLIED, "offset " + state.appliedOffset() + " was reached before");
        }
        if (!entry.offset().equals(nextOffset())) {
            return new ApplyResult(
                    ApplyResult.Outcome.GAP,
                    "entry " + entry.offset() + " does not follow " + state.appliedOffset() + "; read from "
                            + nextOffset() + " or restore a snapshot");
        }
        ApplyResult result = applyNext(entry);
        state = state.withAppliedOffset(entry.offset());
        if (result.outcome() == ApplyResult.Outcome.MALFORMED) {
            malformedCount++;
        }
        return result;
    }

    private ApplyResult applyNext(LogEntry entry) {
        if (entry.body() instanceof LogRecord.Unreadable unreadable) {
            return new ApplyResult(ApplyResult.Outcome.MALFORMED, unreadable.reason());
        }
        if (DuplicateRecordFilter.isDuplicate(state, entry.header())) {
            return new ApplyResult(
                    ApplyResult.Outcome.DUPLICATE,
                    "writer \"" + entry.header().writer() + "\" wrote sequence "
                            + entry.header().sequence() + " or a later one before");
        }
        if (entry.body() instanceof LogRecord.SnapshotTaken snapshot) {
            if (!entry.offset().isAfter(snapshot.state().appliedOffset())) {
                return new ApplyResult(
                        ApplyResult.Outcome.MALFORMED,
                        "snapshot at " + entry.offset() + " claims to know record "
                                + snapshot.state().appliedOffset());
            }
            recordSnapshot(entry.offset(), snapshot.state());
        }
        state = DuplicateRecordFilter.recordSequence(state, entry.header(), entry.offset());
        try {
            state = RecordApplier.apply(state, entry);
            return ApplyResult.ACCEPTED;
        } catch (RejectedRecordException e) {
            return e.result();
        }
    }

    private void recordSnapshot(LogOffset offset, ReplicaState snapshot) {
        if (!newestSnapshotAppliedOffset.isAfter(snapshot.appliedOffset())) {
            newestSnapshotOffset = offset;
            newestSnapshotAppliedOffset = snapshot.appliedOffset();
        }
        boolean comparable = snapshot.appliedOffset().equals(state.appliedOffset());
        if (comparable && !snapshot.equals(state)) {
            snapshotMismatchCount++;
        }
    }
}

package org.lacewingthread.core.log;

import java.util.Optional;
import org.lacewingthread.core.id.LogOffset;

/**
 * Derives a {@link ReplicaState} from the platform's log by applying its entries in order. Replicas that
 * receive the same entries, in whatever batches, reach the same state: entries are applied at ascending
 * offsets without gaps, duplicates that a writer appended are ignored, and so is a record that fails the
 * condition documented with its type in {@link LogRecord}.
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
 * <p>The conditions are part of the log's format, because releases that run side by side must accept the
 * same records. A changed condition, including one of {@link
 * org.lacewingthread.core.config.ConfigurationValidator}, requires a new record type.
 *
 * <p>Not thread-safe. The states that it returns are immutable and can be shared between threads.
 */
public final class LogReplica {
    private ReplicaState state;
    private LogOffset newestSnapshotOffset = LogOffset.NONE;
    private LogOffset newestSnapshotAppliedOffset = LogOffset.NONE;
    private long malformedCount;
    private long snapshotMismatchCount;

    /** Creates a replica with the empty state, which precedes the first record. */
    public LogReplica() {
        this(ReplicaState.EMPTY);
    }

    /** Creates a replica with the state of a snapshot. */
    public LogReplica(ReplicaState snapshot) {
        state = snapshot;
    }

    /** Returns the state after the last applied entry. */
    public ReplicaState state() {
        return state;
    }

    /** Returns the offset of the entry that the replica expects next. */
    public LogOffset nextOffset() {
        return state.appliedOffset().next();
    }

    /**
     * Returns the offset of the record with the newest snapshot that the replica has encountered, {@link
     * LogOffset#NONE} if it has encountered none since it was created.
     */
    public LogOffset newestSnapshotOffset() {
        return newestSnapshotOffset;
    }

    /**
     * Returns the applied offset of the newest snapshot that the replica has encountered. A replica that
     * starts from this snapshot needs all records after that offset.
     */
    public LogOffset newestSnapshotAppliedOffset() {
        return newestSnapshotAppliedOffset;
    }

    /** Returns the number of malformed records that the replica has skipped. */
    public long malformedCount() {
        return malformedCount;
    }

    /** Returns the number of snapshots that differed from the replica's own state at the same applied offset. */
    public long snapshotMismatchCount() {
        return snapshotMismatchCount;
    }

    /**
     * Replaces the state by a snapshot if the snapshot has a higher applied offset than the state.
     *
     * @return whether the state was replaced
     */
    public boolean restore(ReplicaState snapshot) {
        if (!snapshot.appliedOffset().isAfter(state.appliedOffset())) {
            return false;
        }
        state = snapshot;
        return true;
    }

    /** Returns the snapshot in an entry; empty if there is none or it is not newer than the current state. */
    public Optional<ReplicaState> newerSnapshot(LogEntry entry) {
        boolean newer = entry.body() instanceof LogRecord.SnapshotTaken snapshot
                && snapshot.state().appliedOffset().isAfter(state.appliedOffset());
        return newer ? Optional.of(((LogRecord.SnapshotTaken) entry.body()).state()) : Optional.empty();
    }

    /**
     * Applies an entry. An entry at another than the next offset is not applied. A rejected record at the next
     * offset changes at most the applied offset and the recorded sequence number of its writer.
     */
    public ApplyResult apply(LogEntry entry) {
        if (!entry.offset().isAfter(state.appliedOffset())) {
            return new ApplyResult(
                    ApplyResult.Outcome.ALREADY_APPLIED,
                    "entry " + entry.offset() + " is not after the applied offset " + state.appliedOffset());
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

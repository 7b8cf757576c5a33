package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ShardAssignment;

/**
 * Batches shard assignments into log records and retries those that the log has not confirmed. Assignments
 * that came into use while the log was unreachable are appended before all others.
 */
final class AssignmentRecorder {
    /** Maximum number of assignments in one log record. */
    static final int MAX_ASSIGNMENTS_PER_RECORD = 512;

    private static final long RECORD_INTERVAL_MILLIS = 100;
    private static final long RETRY_MILLIS = 3_000;

    private final Set<SafetyRule> rules;
    private final Map<ShardId, ShardAssignment> unrecordedInUse = new LinkedHashMap<>();
    private final Map<ShardId, ShardAssignment> queued = new LinkedHashMap<>();
    private final Map<ShardId, Sent> sent = new LinkedHashMap<>();
    private long nextRecordMillis = Long.MIN_VALUE;
    private long nextRetryCheckMillis = Long.MIN_VALUE;
    private boolean logWasReachable = true;

    private record Sent(ShardAssignment assignment, long retryAtMillis, boolean inUse) {}

    AssignmentRecorder(Set<SafetyRule> rules) {
        this.rules = rules;
    }

    /** Queues an assignment that is used only after it has been recorded. */
    void enqueue(ShardAssignment assignment) {
        cancel(assignment.shard());
        queued.put(assignment.shard(), assignment);
    }

    /** Queues an assignment that is already in use without a record. */
    void enqueueInUse(ShardAssignment assignment) {
        cancel(assignment.shard());
        unrecordedInUse.put(assignment.shard(), assignment);
    }

    /** Discards the assignment of a shard that is queued or awaits confirmation. */
    void cancel(ShardId shard) {
        unrecordedInUse.remove(shard);
        queued.remove(shard);
        sent.remove(shard);
    }

    /** Returns whether an assignment of a shard is queued or sent but not yet confirmed. */
    boolean isPending(ShardId shard) {
        return unrecordedInUse.containsKey(shard) || queued.containsKey(shard) || sent.containsKey(shard);
    }

    /** Returns whether assignments that are already in use have not been appended yet. */
    boolean hasUnrecordedInUse() {
        return !unrecordedInUse.isEmpty();
    }

    /** Returns the records to append in this step; none while the log is unreachable. */
    List<LogRecord> nextRecords(StepContext step) {
        if (!step.inputs().logReachable()) {
            logWasReachable = false;
            return List.of();
        }
        if (!logWasReachable) {
            logWasReachable = true;
            requeueSent(Long.MAX_VALUE, step);
        }
        if (step.nowMillis() >= nextRetryCheckMillis) {
            nextRetryCheckMillis = step.nowMillis() + RECORD_INTERVAL_MILLIS;
            requeueSent(step.nowMillis(), step);
        }
        return nextRecord(step).<List<LogRecord>>map(List::of).orElse(List.of());
    }

    private Optional<LogRecord> nextRecord(StepContext step) {
        if (step.nowMillis() < nextRecordMillis || (unrecordedInUse.isEmpty() && queued.isEmpty())) {
            return Optional.empty();
        }
        nextRecordMillis = step.nowMillis() + RECORD_INTERVAL_MILLIS;
        List<ShardAssignment> batch = new ArrayList<>();
        if (rules.contains(SafetyRule.PROVISIONAL_FIRST)) {
            moveToBatch(unrecordedInUse, true, batch, step);
            moveToBatch(queued, false, batch, step);
        } else {
            moveToBatch(queued.isEmpty() ? unrecordedInUse : queued, queued.isEmpty(), batch, step);
        }
        return batch.isEmpty()
                ? Optional.empty()
                : Optional.of(new LogRecord.AssignmentsRecorded(
                        step.inputs().dataCentre(), step.inputs().term(), batch));
    }

    private void moveToBatch(
            Map<ShardId, ShardAssignment> source, boolean alreadyInUse, List<ShardAssignment> batch, StepContext step) {
        Iterator<ShardAssignment> iterator = source.values().iterator();
        while (iterator.hasNext() && batch.size() < MAX_ASSIGNMENTS_PER_RECORD) {
            ShardAssignment assignment = iterator.next();
            iterator.remove();
            if (step.mayRecord(assignment)) {
                batch.add(assignment);
                sent.put(assignment.shard(), new Sent(assignment, step.nowMillis() + RETRY_MILLIS, alreadyInUse));
            }
        }
    }

    /** Drops the assignments that the log confirms and queues the others again if their retry is due. */
    private void requeueSent(long dueMillis, StepContext step) {
        for (Sent record : List.copyOf(sent.values())) {
            ShardId shard = record.assignment().shard();
            if (step.isRecorded(record.assignment())) {
                sent.remove(shard);
            } else if (record.retryAtMillis() <= dueMillis) {
                sent.remove(shard);
                (record.inUse() ? unrecordedInUse : queued).put(shard, record.assignment());
            }
        }
    }
}

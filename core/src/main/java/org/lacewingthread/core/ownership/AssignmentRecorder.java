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

/** Appends assignments in few records, and those made while the log was out before all others. */
final class AssignmentRecorder {
    /** Assignments in one record. */
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

    /** Asks for an assignment to be recorded before it is used. */
    void enqueue(ShardAssignment assignment) {
        cancel(assignment.shard());
        queued.put(assignment.shard(), assignment);
    }

    /** Asks for an assignment to be recorded that is in use already. */
    void enqueueInUse(ShardAssignment assignment) {
        cancel(assignment.shard());
        unrecordedInUse.put(assignment.shard(), assignment);
    }

    void cancel(ShardId shard) {
        unrecordedInUse.remove(shard);
        queued.remove(shard);
        sent.remove(shard);
    }

    boolean isPending(ShardId shard) {
        return unrecordedInUse.containsKey(shard) || queued.containsKey(shard) || sent.containsKey(shard);
    }

    /** Returns whether assignments in use still wait to be appended. */
    boolean hasUnrecordedInUse() {
        return !unrecordedInUse.isEmpty();
    }

    /** Returns the records to append now. */
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
            Map<ShardId, ShardAssignment> source, boolean isOverdue, List<ShardAssignment> batch, StepContext step) {
        Iterator<ShardAssignment> iterator = source.values().iterator();
        while (iterator.hasNext() && batch.size() < MAX_ASSIGNMENTS_PER_RECORD) {
            ShardAssignment assignment = iterator.next();
            iterator.remove();
            if (step.mayRecord(assignment)) {
                batch.add(assignment);
                sent.put(assignment.shard(), new Sent(assignment, step.nowMillis() + RETRY_MILLIS, isOverdue));
            }
        }
    }

    /** Forgets what was recorded, and asks again for what was sent and is due for a retry. */
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

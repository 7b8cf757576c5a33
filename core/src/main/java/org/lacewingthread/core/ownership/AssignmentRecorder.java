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
    static final int ASSIGNMENTS_PER_RECORD = 512;

    private static final long RECORD_INTERVAL_MILLIS = 100;
    private static final long RETRY_MILLIS = 3_000;

    private final Set<SafetyRule> rules;
    private final Map<ShardId, ShardAssignment> overdue = new LinkedHashMap<>();
    private final Map<ShardId, ShardAssignment> waiting = new LinkedHashMap<>();
    private final Map<ShardId, Sent> sent = new LinkedHashMap<>();
    private long nextRecordMillis = Long.MIN_VALUE;
    private long nextCheckMillis = Long.MIN_VALUE;
    private boolean logWasReachable = true;

    private record Sent(ShardAssignment assignment, long retryAtMillis, boolean overdue) {}

    AssignmentRecorder(Set<SafetyRule> rules) {
        this.rules = rules;
    }

    /** Asks for an assignment to be recorded before it is used. */
    void want(ShardAssignment assignment) {
        forget(assignment.shard());
        waiting.put(assignment.shard(), assignment);
    }

    /** Asks for an assignment to be recorded that is in use already. */
    void wantInUse(ShardAssignment assignment) {
        forget(assignment.shard());
        overdue.put(assignment.shard(), assignment);
    }

    void forget(ShardId shard) {
        overdue.remove(shard);
        waiting.remove(shard);
        sent.remove(shard);
    }

    boolean isPending(ShardId shard) {
        return overdue.containsKey(shard) || waiting.containsKey(shard) || sent.containsKey(shard);
    }

    /** Returns whether assignments in use still wait to be appended. */
    boolean hasOverdue() {
        return !overdue.isEmpty();
    }

    /** Returns the records to append now. */
    List<LogRecord> records(Step step) {
        if (!step.inputs().logReachable()) {
            logWasReachable = false;
            return List.of();
        }
        if (!logWasReachable) {
            logWasReachable = true;
            takeBackSent(Long.MAX_VALUE, step);
        }
        if (step.nowMillis() >= nextCheckMillis) {
            nextCheckMillis = step.nowMillis() + RECORD_INTERVAL_MILLIS;
            takeBackSent(step.nowMillis(), step);
        }
        return nextRecord(step).<List<LogRecord>>map(List::of).orElse(List.of());
    }

    private Optional<LogRecord> nextRecord(Step step) {
        if (step.nowMillis() < nextRecordMillis || (overdue.isEmpty() && waiting.isEmpty())) {
            return Optional.empty();
        }
        nextRecordMillis = step.nowMillis() + RECORD_INTERVAL_MILLIS;
        List<ShardAssignment> batch = new ArrayList<>();
        if (rules.contains(SafetyRule.PROVISIONAL_FIRST)) {
            take(overdue, true, batch, step);
            take(waiting, false, batch, step);
        } else {
            take(waiting.isEmpty() ? overdue : waiting, waiting.isEmpty(), batch, step);
        }
        return batch.isEmpty()
                ? Optional.empty()
                : Optional.of(new LogRecord.AssignmentsRecorded(
                        step.inputs().dataCentre(), step.inputs().term(), batch));
    }

    private void take(Map<ShardId, ShardAssignment> source, boolean isOverdue, List<ShardAssignment> batch, Step step) {
        Iterator<ShardAssignment> iterator = source.values().iterator();
        while (iterator.hasNext() && batch.size() < ASSIGNMENTS_PER_RECORD) {
            ShardAssignment assignment = iterator.next();
            iterator.remove();
            if (step.mayRecord(assignment)) {
                batch.add(assignment);
                sent.put(assignment.shard(), new Sent(assignment, step.nowMillis() + RETRY_MILLIS, isOverdue));
            }
        }
    }

    /** Forgets what was recorded, and asks again for what was sent and is due for a retry. */
    private void takeBackSent(long dueMillis, Step step) {
        for (Sent record : List.copyOf(sent.values())) {
            ShardId shard = record.assignment().shard();
            if (step.isRecorded(record.assignment())) {
                sent.remove(shard);
            } else if (record.retryAtMillis() <= dueMillis) {
                sent.remove(shard);
                (record.overdue() ? overdue : waiting).put(shard, record.assignment());
            }
        }
    }
}

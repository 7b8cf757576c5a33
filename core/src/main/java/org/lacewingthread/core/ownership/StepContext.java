package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.FencingToken;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;

/**
 * Inputs and derived values of one call of {@link LeaseOwnershipCoordinator#step}.
 *
 * @param inputs what the leader knows
 * @param nowMillis monotonic time in milliseconds
 * @param predecessorDispatchEndMillis monotonic time by which every dispatch lease granted by an earlier
 *     leader has expired; no later than {@link OwnershipInputs#predecessorEndMillis}
 * @param auditNotes collects the moves made while the log is unreachable
 */
record StepContext(OwnershipInputs inputs, long nowMillis, long predecessorDispatchEndMillis, List<String> auditNotes) {
    /** Creates the context of a step. */
    static StepContext of(OwnershipInputs inputs, ControlSettings settings, long nowMillis) {
        long dispatchMillis = settings.lengthenedByClockMargin(settings.dispatchLeaseMillis());
        long serverMillis = settings.lengthenedByClockMargin(settings.serverLeaseMillis());
        long earlierMillis = Math.max(0, serverMillis - dispatchMillis);
        return new StepContext(inputs, nowMillis, inputs.predecessorEndMillis() - earlierMillis, new ArrayList<>());
    }

    boolean predecessorDispatchLeasesExpired() {
        return nowMillis >= predecessorDispatchEndMillis;
    }

    /** Returns a shard's entry in the log, {@link ShardTable.Entry#UNASSIGNED} if it has none. */
    ShardTable.Entry tableEntry(ShardId shard) {
        ShardTable table = inputs.state().shardTables().get(shard.application());
        if (table == null || shard.index() >= table.entries().size()) {
            return ShardTable.Entry.UNASSIGNED;
        }
        ShardTable.Entry entry = table.entries().get(shard.index());
        return entry == null ? ShardTable.Entry.UNASSIGNED : entry;
    }

    Optional<ShardAssignment> recordedAssignment(ShardId shard) {
        return Optional.ofNullable(tableEntry(shard).assignment());
    }

    /** Returns whether this data centre is responsible for a shard and has not released it. */
    boolean isResponsibleFor(ShardTable.Entry entry) {
        return inputs.dataCentre().equals(entry.home()) && entry.adopter() == null;
    }

    /** Returns whether an assignment would be accepted on replay, given the current state of the log. */
    boolean mayRecord(ShardAssignment assignment) {
        ShardTable.Entry entry = tableEntry(assignment.shard());
        if (entry.home() == null || inputs.dataCentre().equals(entry.adopter())) {
            return true;
        }
        return isResponsibleFor(entry) && entry.assignment().token().compareTo(assignment.token()) <= 0;
    }

    boolean isRecorded(ShardAssignment assignment) {
        return isRecorded(assignment.shard(), assignment.owner(), assignment.token());
    }

    boolean isRecorded(ShardId shard, ServerId owner, FencingToken token) {
        ShardTable.Entry entry = tableEntry(shard);
        return isResponsibleFor(entry)
                && entry.assignment() != null
                && entry.assignment().owner().equals(owner)
                && entry.assignment().token().equals(token);
    }

    boolean predecessorLeasesExpired() {
        return nowMillis >= inputs.predecessorEndMillis();
    }
}

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
 * One call of {@link LeaseOwnershipCoordinator#step}.
 *
 * @param inputs what the leader knows
 * @param nowMillis monotonic time
 * @param dispatchersEndMillis monotonic time by which every dispatch lease that an earlier leader gave
 *     has run out; no later than {@link OwnershipInputs#predecessorEndMillis}
 * @param notes collects steps taken while the log is out
 */
record Step(OwnershipInputs inputs, long nowMillis, long dispatchersEndMillis, List<String> notes) {
    /** Collects what a step needs. */
    static Step of(OwnershipInputs inputs, ControlSettings settings, long nowMillis) {
        long dispatchMillis = settings.lengthenedByClockMargin(settings.dispatchLeaseMillis());
        long serverMillis = settings.lengthenedByClockMargin(settings.serverLeaseMillis());
        long earlierMillis = Math.max(0, serverMillis - dispatchMillis);
        return new Step(inputs, nowMillis, inputs.predecessorEndMillis() - earlierMillis, new ArrayList<>());
    }

    boolean predecessorDispatchersGone() {
        return nowMillis >= dispatchersEndMillis;
    }

    /** Returns a shard's entry in the log, {@link ShardTable.Entry#UNASSIGNED} if it has none. */
    ShardTable.Entry entry(ShardId shard) {
        ShardTable table = inputs.state().shardTables().get(shard.application());
        if (table == null || shard.index() >= table.entries().size()) {
            return ShardTable.Entry.UNASSIGNED;
        }
        ShardTable.Entry entry = table.entries().get(shard.index());
        return entry == null ? ShardTable.Entry.UNASSIGNED : entry;
    }

    Optional<ShardAssignment> recorded(ShardId shard) {
        return Optional.ofNullable(entry(shard).assignment());
    }

    /** Returns whether this data centre governs a shard and has not given it up. */
    boolean governs(ShardTable.Entry entry) {
        return inputs.dataCentre().equals(entry.home()) && entry.adopter() == null;
    }

    /** Returns whether the fold would accept an assignment as the log stands. */
    boolean mayRecord(ShardAssignment assignment) {
        ShardTable.Entry entry = entry(assignment.shard());
        if (entry.home() == null || inputs.dataCentre().equals(entry.adopter())) {
            return true;
        }
        return governs(entry) && entry.assignment().token().compareTo(assignment.token()) <= 0;
    }

    boolean isRecorded(ShardAssignment assignment) {
        return isRecorded(assignment.shard(), assignment.owner(), assignment.token());
    }

    boolean isRecorded(ShardId shard, ServerId owner, FencingToken token) {
        ShardTable.Entry entry = entry(shard);
        return governs(entry)
                && entry.assignment() != null
                && entry.assignment().owner().equals(owner)
                && entry.assignment().token().equals(token);
    }

    boolean predecessorGone() {
        return nowMillis >= inputs.predecessorEndMillis();
    }
}

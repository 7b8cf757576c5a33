package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;

/** Collects the changes of one record to shard entries, so that each shard table is copied only once. */
final class ShardTableEdits {
    private final ReplicaState state;
    private final Map<ApplicationId, Map<Integer, ShardTable.Entry>> changes = new TreeMap<>();

    ShardTableEdits(ReplicaState state) {
        this.state = state;
    }

    /** Returns the entry of a shard before the record. */
    ShardTable.Entry entry(ShardId shard) throws RejectedRecordException {
        ShardTable table = state.shardTable(shard.application());
        ShardTable.Entry entry = table == null ? null : table.entry(shard.index());
        if (entry == null) {
            throw RejectedRecordException.conflict("shard \"" + shard + "\" does not exist");
        }
        return entry;
    }

    /** Sets the entry of a shard. Rejects the record if it has already set the entry of this shard. */
    void set(ShardId shard, ShardTable.Entry entry) throws RejectedRecordException {
        Map<Integer, ShardTable.Entry> tableChanges =
                changes.computeIfAbsent(shard.application(), id -> new HashMap<>());
        if (tableChanges.containsKey(shard.index())) {
            throw RejectedRecordException.malformed("shard \"" + shard + "\" is named twice");
        }
        tableChanges.put(shard.index(), entry);
    }

    ReplicaState apply() {
        if (changes.isEmpty()) {
            return state;
        }
        Map<ApplicationId, ShardTable> tables = new HashMap<>(state.shardTables());
        changes.forEach((id, entries) -> tables.computeIfPresent(id, (unused, table) -> table.withEntries(entries)));
        return state.withShardTables(tables);
    }
}

package org.lacewingthread.core.log;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ShardId;

/** Collects the changes that one record makes to shard entries, so that each table is copied once. */
final class ShardTableEdits {
    private final ReplicaState state;
    private final Map<ApplicationId, Map<Integer, ShardTable.Entry>> changes = new TreeMap<>();

    ShardTableEdits(ReplicaState state) {
        this.state = state;
    }

    /** Returns the entry before the record. */
    ShardTable.Entry entry(ShardId shard) throws RejectedRecordException {
        ShardTable table = state.shardTable(shard.application());
        ShardTable.Entry entry = table == null ? null : table.entry(shard.index());
        if (entry == null) {
            throw RejectedRecordException.conflict("shard \"" + shard + "\" does not exist");
        }
        return entry;
    }

    /** Sets an entry; a record may set each shard once. */
    void set(ShardId shard, ShardTable.Entry entry) throws RejectedRecordException {
        Map<Integer, ShardTable.Entry> ofTable = changes.computeIfAbsent(shard.application(), id -> new HashMap<>());
        if (ofTable.containsKey(shard.index())) {
            throw RejectedRecordException.malformed("shard \"" + shard + "\" is named twice");
        }
        ofTable.put(shard.index(), entry);
    }

    ReplicaState apply() {
        if (changes.isEmpty()) {
            return state;
        }
        Map<ApplicationId, ShardTable> tables = new HashMap<>(state.shardTables());
        changes.forEach((id, entries) -> tables.computeIfPresent(id, (same, table) -> table.withEntries(entries)));
        return state.withShardTables(tables);
    }
}

package org.lacewingthread.core.log;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ShardId;

/** Applies records that split hot keys out into shards of their own or merge them back. */
final class SplitKeyApplier {
    private SplitKeyApplier() {}

    static ReplicaState split(ReplicaState state, LogRecord.KeysSplit record) throws RejectedRecordException {
        ReplicaState next = LeadershipApplier.recordTerm(state, record.dataCentre(), record.term());
        ShardTable table = requireTable(state, record.application());
        requireDistinct(record.keyHashes());
        List<Long> added = record.keyHashes().stream()
                .filter(hash -> !isSplit(table, hash))
                .toList();
        if (table.splitKeys().size() + added.size() > ShardTable.MAX_SPLIT_KEYS) {
            throw RejectedRecordException.conflict("application \"" + record.application() + "\" would have more than "
                    + ShardTable.MAX_SPLIT_KEYS + " split-out keys; merge some back first");
        }
        List<Integer> free = freeIndexes(table, added.size());
        Map<Integer, ShardTable.Entry> entries = new HashMap<>();
        Map<Long, Integer> indexes = new HashMap<>();
        for (int i = 0; i < added.size(); i++) {
            ShardTable.Entry base =
                    requireHashedShardEntry(table, record.application(), record.dataCentre(), added.get(i));
            ShardId shard = new ShardId(record.application(), free.get(i));
            entries.put(
                    shard.index(), new ShardTable.Entry(base.home(), null, copyAssignment(shard, base.assignment())));
            indexes.put(added.get(i), shard.index());
        }
        return next.withShardTable(
                record.application(), table.withEntries(entries).withSplitKeys(indexes));
    }

    private static boolean isSplit(ShardTable table, long hash) {
        return table.indexOf(hash) >= table.shardCount();
    }

    private static ShardAssignment copyAssignment(ShardId shard, ShardAssignment base) {
        return new ShardAssignment(shard, base.owner(), base.failover(), base.token());
    }

    /**
     * Returns indexes for new shards: first indexes after the end of the table, up to the maximum number of
     * split-out keys, then the lowest indexes of merged keys. An index is thus reused only after thousands
     * of splits.
     */
    private static List<Integer> freeIndexes(ShardTable table, int wanted) {
        List<Integer> free = new ArrayList<>();
        int end = table.entries().size();
        int limit = table.shardCount() + ShardTable.MAX_SPLIT_KEYS;
        for (int index = end; index < limit && free.size() < wanted; index++) {
            free.add(index);
        }
        for (int index = table.shardCount(); index < end && free.size() < wanted; index++) {
            if (table.entry(index) == null) {
                free.add(index);
            }
        }
        return free;
    }

    static ReplicaState merge(ReplicaState state, LogRecord.KeysMerged record) throws RejectedRecordException {
        ReplicaState next = LeadershipApplier.recordTerm(state, record.dataCentre(), record.term());
        ShardTable table = requireTable(state, record.application());
        requireDistinct(record.keyHashes());
        Map<Integer, ShardTable.Entry> entries = new HashMap<>();
        for (long hash : record.keyHashes()) {
            if (isSplit(table, hash)) {
                requireMergeable(table, record, hash);
                entries.put(table.indexOf(hash), null);
            }
        }
        return next.withShardTable(
                record.application(), table.withEntries(entries).withoutSplitKeys(record.keyHashes()));
    }

    private static void requireMergeable(ShardTable table, LogRecord.KeysMerged record, long hash)
            throws RejectedRecordException {
        ShardTable.Entry base = requireHashedShardEntry(table, record.application(), record.dataCentre(), hash);
        ShardId shard = new ShardId(record.application(), table.indexOf(hash));
        ShardTable.Entry split = table.entry(shard.index());
        ShardApplier.requireGoverned(split, record.dataCentre(), shard);
        if (!split.assignment().owner().equals(base.assignment().owner())) {
            throw RejectedRecordException.conflict("split-out shard \"" + shard + "\" is owned by \""
                    + split.assignment().owner() + "\", but the shard it came from by \""
                    + base.assignment().owner() + "\"");
        }
    }

    private static ShardTable.Entry requireHashedShardEntry(
            ShardTable table, ApplicationId application, DataCentreId dataCentre, long hash)
            throws RejectedRecordException {
        ShardId shard = new ShardId(application, table.hashedIndexOf(hash));
        ShardTable.Entry base = table.entry(shard.index());
        ShardApplier.requireGoverned(base, dataCentre, shard);
        return base;
    }

    private static ShardTable requireTable(ReplicaState state, ApplicationId id) throws RejectedRecordException {
        ShardTable table = state.shardTable(id);
        if (table == null) {
            throw RejectedRecordException.conflict("application \"" + id + "\" was never configured");
        }
        return table;
    }

    private static void requireDistinct(List<Long> hashes) throws RejectedRecordException {
        if (new HashSet<>(hashes).size() < hashes.size()) {
            throw RejectedRecordException.malformed("a key hash is named twice");
        }
    }
}

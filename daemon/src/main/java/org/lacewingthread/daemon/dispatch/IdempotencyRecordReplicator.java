package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;

/**
 * Copies the idempotency records of this VM to another entry VM of the data centre, and collects records from the
 * other VMs when this VM takes over shards; holds no records itself. A non-repeatable request with an idempotency
 * key is sent only after another VM acknowledged its record, so that the record survives the loss of its
 * dispatcher. The receiving VM stores copies in its {@link PeerIdempotencyRecords}.
 */
public interface IdempotencyRecordReplicator {
    /** For a data centre with a single entry VM: there is no VM to copy to or to collect from. */
    IdempotencyRecordReplicator NONE = new IdempotencyRecordReplicator() {
        @Override
        public void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult) {
            onResult.accept(ReplicationResult.NO_OTHER_VM);
        }

        @Override
        public void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult) {
            onResult.accept(new CollectedRecords(List.of(), false));
        }
    };

    /** Result of copying a record. */
    enum ReplicationResult {
        /** Another VM acknowledged the copy. */
        ACKNOWLEDGED,
        /** The roster names no other VM. */
        NO_OTHER_VM,
        /** No other VM acknowledged the copy in time. */
        FAILED
    }

    /**
     * Records collected from other VMs.
     *
     * @param records records found for the shards
     * @param complete whether they include every record made for the shards within the idempotency window; true only
     *     if the former dispatcher responded, or every VM that it may have copied records to
     */
    record CollectedRecords(List<IdempotencyRecord> records, boolean complete) {
        /** Copies the list. */
        public CollectedRecords {
            records = List.copyOf(records);
        }
    }

    /** Copies a record to another VM; reports the result on any thread within some tens of milliseconds. */
    void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult);

    /** Collects the records of shards that this VM now dispatches for; reports the result on any thread. */
    void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult);
}

package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;

/**
 * Copies of idempotency records at a second entry VM of the data centre. A non-repeatable request
 * with an idempotency key is sent only after its record was acknowledged by another VM, so that the
 * record survives the loss of its dispatcher. The receiving side keeps copies in a {@link PeerIdempotencyRecords}.
 */
public interface IdempotencyRecordReplicator {
    /** A data centre of one entry VM: there is nowhere to copy to and nobody to collect from. */
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

    /** What became of a copy. */
    enum ReplicationResult {
        /** Another VM acknowledged it. */
        ACKNOWLEDGED,
        /** The roster names no other VM. */
        NO_OTHER_VM,
        /** No other VM acknowledged it in time. */
        FAILED
    }

    /**
     * Records collected from other VMs.
     *
     * @param records the records
     * @param complete whether every record that a VM made for the shards within the window is among
     *     them: true only if the former dispatcher answered, or each VM that it may have copied to did
     */
    record CollectedRecords(List<IdempotencyRecord> records, boolean complete) {
        /** Copies the list. */
        public CollectedRecords {
            records = List.copyOf(records);
        }
    }

    /** Copies a record to another VM; the result comes on any thread within some tens of milliseconds. */
    void replicate(IdempotencyRecord record, Consumer<ReplicationResult> onResult);

    /** Collects the records of shards that this VM now dispatches for; the result comes on any thread. */
    void collect(Set<ShardId> shards, Consumer<CollectedRecords> onResult);
}

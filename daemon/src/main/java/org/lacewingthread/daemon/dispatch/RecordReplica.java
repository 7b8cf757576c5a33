package org.lacewingthread.daemon.dispatch;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;

/**
 * Copies of idempotency records at a second entry VM of the data centre. A non-repeatable request
 * with an idempotency key is sent only after its record was acknowledged by another VM, so that the
 * record survives the loss of its dispatcher. The receiving side keeps copies in a {@link RecordCopies}.
 */
public interface RecordReplica {
    /** A data centre of one entry VM: there is nowhere to copy to and nobody to collect from. */
    RecordReplica NONE = new RecordReplica() {
        @Override
        public void put(IdempotencyRecord record, Consumer<PutResult> onResult) {
            onResult.accept(PutResult.NO_OTHER_VM);
        }

        @Override
        public void collect(Set<ShardId> shards, Consumer<Collected> onResult) {
            onResult.accept(new Collected(List.of(), false));
        }
    };

    /** What became of a copy. */
    enum PutResult {
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
    record Collected(List<IdempotencyRecord> records, boolean complete) {
        /** Copies the list. */
        public Collected {
            records = List.copyOf(records);
        }
    }

    /** Copies a record to another VM; the result comes on any thread within some tens of milliseconds. */
    void put(IdempotencyRecord record, Consumer<PutResult> onResult);

    /** Collects the records of shards that this VM now dispatches for; the result comes on any thread. */
    void collect(Set<ShardId> shards, Consumer<Collected> onResult);
}

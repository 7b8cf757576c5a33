package org.lacewingthread.daemon.peer;

import java.util.List;
import java.util.Set;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.traffic.IdempotencyRecord;

/**
 * Stores and returns idempotency records for other entry VMs. Called on event loops, so implementations
 * must not block.
 */
public interface IdempotencyRecordService {
    /**
     * Reply of one entry VM to a collect request.
     *
     * @param records the VM's own records and its copies of other VMs' records
     * @param departedProcesses processes that the VM knows to have left the data centre's roster within the
     *     retention window
     * @param coversWholeWindow whether the VM's history of departures covers the whole window
     */
    record CollectReply(List<IdempotencyRecord> records, Set<VmStart> departedProcesses, boolean coversWholeWindow) {
        /** Copies the collections. */
        public CollectReply {
            records = List.copyOf(records);
            departedProcesses = Set.copyOf(departedProcesses);
        }
    }

    /** Stores a copy of a record; returns whether it may be acknowledged. */
    boolean put(IdempotencyRecord record);

    /** Returns this VM's records of some shards. */
    CollectReply recordsOf(Set<ShardId> shards);
}

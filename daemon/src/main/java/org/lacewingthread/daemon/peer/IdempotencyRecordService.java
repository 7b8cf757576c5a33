package org.lacewingthread.daemon.peer;

import java.util.List;
import java.util.Set;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.traffic.IdempotencyRecord;

/** What an entry VM does for others about idempotency records; called on event loops, must not block. */
public interface IdempotencyRecordService {
    /**
     * What one entry VM knows.
     *
     * @param records records that it made or keeps copies of
     * @param gone processes that left the data centre's roster within the window, as it saw it
     * @param wholeWindow whether it saw the whole window
     */
    record CollectReply(List<IdempotencyRecord> records, Set<VmStart> gone, boolean wholeWindow) {
        /** Copies the collections. */
        public CollectReply {
            records = List.copyOf(records);
            gone = Set.copyOf(gone);
        }
    }

    /** Keeps a copy; returns whether it may be acknowledged. */
    boolean put(IdempotencyRecord record);

    /** Returns what this VM knows of some shards. */
    CollectReply recordsOf(Set<ShardId> shards);
}

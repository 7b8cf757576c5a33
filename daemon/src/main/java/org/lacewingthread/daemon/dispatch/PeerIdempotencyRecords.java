package org.lacewingthread.daemon.dispatch;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecords;

/**
 * Holds copies of idempotency records on behalf of other entry VMs, from the time they replicate a record until
 * the idempotency window ends, for the VM that takes over the shard. Once the limit is reached, new copies are
 * rejected rather than acknowledged, so that no acknowledged copy is dropped within the window. Thread-safe.
 *
 * <p>The records of the requests that this VM itself dispatches are in {@link LocalIdempotencyRecords}.
 */
public final class PeerIdempotencyRecords {
    private final Cache<IdempotencyRecord.Id, IdempotencyRecord> copies;
    private final int maxCopies;

    /** Creates an empty store with the window and the record limit of the settings. */
    public PeerIdempotencyRecords(IdempotencyRecords.Settings settings, LongSupplier clockMillis) {
        Ticker ticker = () -> TimeUnit.MILLISECONDS.toNanos(clockMillis.getAsLong());
        this.copies = Caffeine.newBuilder()
                .ticker(ticker)
                .executor(Runnable::run)
                .expireAfterWrite(Duration.ofMillis(settings.windowMillis()))
                .build();
        this.maxCopies = settings.maxRecords();
    }

    /** Stores a copy; returns whether it was stored and may be acknowledged. */
    public boolean put(IdempotencyRecord record) {
        boolean known = copies.getIfPresent(record.id()) != null;
        if (!known && copies.estimatedSize() >= maxCopies) {
            copies.cleanUp();
            if (copies.estimatedSize() >= maxCopies) {
                return false;
            }
        }
        copies.put(record.id(), record.toTransferCopy());
        return true;
    }

    /** Returns the copies whose keys hash to one of the shards. */
    public List<IdempotencyRecord> copiesOf(Set<ShardId> shards) {
        return copies.asMap().values().stream()
                .filter(copy -> shards.contains(copy.id().shard()))
                .toList();
    }
}

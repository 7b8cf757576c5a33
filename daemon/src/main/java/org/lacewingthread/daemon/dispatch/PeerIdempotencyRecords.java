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
 * Copies of records that other entry VMs made, kept for the window. Bounded: a copy that finds no
 * place is not acknowledged, so that no acknowledged copy is dropped within the window. Safe for use
 * by several threads.
 */
public final class PeerIdempotencyRecords {
    private final Cache<IdempotencyRecord.Id, IdempotencyRecord> copies;
    private final int maxCopies;

    /** Creates an empty store. */
    public PeerIdempotencyRecords(IdempotencyRecords.Settings settings, LongSupplier clockMillis) {
        Ticker ticker = () -> TimeUnit.MILLISECONDS.toNanos(clockMillis.getAsLong());
        this.copies = Caffeine.newBuilder()
                .ticker(ticker)
                .executor(Runnable::run)
                .expireAfterWrite(Duration.ofMillis(settings.windowMillis()))
                .build();
        this.maxCopies = settings.maxRecords();
    }

    /** Keeps a copy; returns whether it may be acknowledged. */
    public boolean put(IdempotencyRecord record) {
        boolean known = copies.getIfPresent(record.id()) != null;
        if (!known && copies.estimatedSize() >= maxCopies) {
            copies.cleanUp();
            if (copies.estimatedSize() >= maxCopies) {
                return false;
            }
        }
        copies.put(record.id(), record.asCopy());
        return true;
    }

    /** Returns the copies of some shards. */
    public List<IdempotencyRecord> copiesOf(Set<ShardId> shards) {
        return copies.asMap().values().stream()
                .filter(copy -> shards.contains(copy.id().shard()))
                .toList();
    }
}

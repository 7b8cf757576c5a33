package org.lacewingthread.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.IdempotencyRecord.State;

/**
 * Records of non-repeatable requests by idempotency key, held by the one dispatcher of their server.
 * A repeat gets the first outcome or "outcome unknown" and never runs a second time.
 *
 * <pre>{@code
 * switch (records.begin(id, served, fingerprint, attempt, nowMillis).verdict()) {
 *     case RUN: // send it, then call markDone(id, outcome), markNotRun(id) or markMayHaveRun(id) of records
 *     ...
 * }
 * }</pre>
 *
 * <p>A record is kept for the retention window after its creation, and for as long as its attempt runs.
 * Memory is bounded: when the maximum number of records is reached within the window, new requests are
 * refused and no record is evicted. {@link RecordContinuity} states whether a VM that has just become
 * the dispatcher can exclude earlier attempts. Not safe for use by several threads.
 */
public final class IdempotencyRecords {
    private final Settings settings;
    private final Map<IdempotencyRecord.Id, Entry> entries = new LinkedHashMap<>();
    private final Map<ShardId, ContinuityStart> continuityStarts = new HashMap<>();

    /**
     * Settings of the records.
     *
     * @param windowMillis time after the first attempt within which a request may be repeated
     * @param maxRecords maximum number of records
     * @param maxBodyBytes maximum size of a body that is kept with an outcome
     */
    public record Settings(long windowMillis, int maxRecords, int maxBodyBytes) {
        /** Default settings. */
        public static final Settings DEFAULT = new Settings(120_000, 50_000, 4_096);

        /** Checks the ranges of the values. */
        public Settings {
            if (windowMillis < 1 || maxRecords < 1 || maxBodyBytes < 0) {
                throw new IllegalArgumentException("window of " + windowMillis + " ms, " + maxRecords
                        + " records and bodies of " + maxBodyBytes + " bytes are not valid limits");
            }
        }
    }

    /** Verdict on a request that carries an idempotency key. */
    public enum Verdict {
        /** Run the request; a record was created. */
        RUN,
        /** Refuse the request; an earlier attempt still runs. */
        STILL_RUNNING,
        /** Respond with the first outcome. */
        REPLAY,
        /** Report an unknown outcome; an earlier attempt may have run. */
        UNKNOWN,
        /** Refuse the request; its idempotency key belongs to another request. */
        REUSED,
        /** Refuse the request; the maximum number of records is reached. */
        FULL
    }

    /**
     * Result of {@link #begin}.
     *
     * @param verdict what to do with the request
     * @param outcome first outcome, or null unless {@link Verdict#REPLAY}
     */
    public record Decision(Verdict verdict, Outcome outcome) {}

    /**
     * A record.
     *
     * @param record state of the attempts that this VM knows of
     * @param madeAtMillis when the record was made or transferred
     * @param transferred record of another VM's attempt, received while an attempt is queued or runs here; null if none
     */
    private record Entry(IdempotencyRecord record, long madeAtMillis, Entry transferred) {
        Entry(IdempotencyRecord record, long madeAtMillis) {
            this(record, madeAtMillis, null);
        }
    }

    private record ContinuityStart(RecordContinuity continuity, long sinceMillis) {}

    /** Creates an empty set of records. */
    public IdempotencyRecords(Settings settings) {
        this.settings = settings;
    }

    /** Starts dispatching for a shard with what is known of its earlier records. */
    public void startShard(ShardId shard, RecordContinuity continuity, long nowMillis) {
        continuityStarts.put(shard, new ContinuityStart(continuity, nowMillis));
    }

    /** Stops dispatching for a shard; its records are kept until the window ends. */
    public void endShard(ShardId shard) {
        continuityStarts.remove(shard);
    }

    /**
     * Adds a record that was transferred from another VM, unless one with the same key exists. If an attempt is queued
     * or runs here, the record counts once that attempt turns out not to have run.
     */
    public void addTransferred(IdempotencyRecord record, long nowMillis) {
        Entry transferred = new Entry(record.toTransferCopy(), nowMillis);
        entries.merge(
                record.id(),
                transferred,
                (known, added) -> known.record().state() == State.RUNNING
                        ? new Entry(known.record(), known.madeAtMillis(), added)
                        : known);
    }

    /**
     * Records that a split-out key was merged back into its original shard. If the records of the merged
     * key are incomplete, those of the original shard count as incomplete as well.
     */
    public void onKeyMergedBack(ShardId original, ShardId merged, long nowMillis) {
        if (continuityOf(merged, nowMillis) != RecordContinuity.COMPLETE) {
            continuityStarts.put(original, new ContinuityStart(RecordContinuity.PREDECESSOR_LOST, nowMillis));
        }
    }

    /**
     * Decides on a request; with {@link Verdict#RUN}, records it as running.
     *
     * @param id idempotency key of the request
     * @param served shard that the request's key currently belongs to
     * @param fingerprint hash of the request, to detect a key that is used for another request
     * @param attempt caller's statement about earlier attempts
     * @param nowMillis current monotonic time
     */
    public Decision begin(
            IdempotencyRecord.Id id, ShardId served, long fingerprint, AttemptNumber attempt, long nowMillis) {
        expire(nowMillis);
        Entry known = entries.get(id);
        if (known != null) {
            return decideRecorded(known.record(), fingerprint);
        }
        if (!continuityOf(served, nowMillis).excludesEarlierRun(attempt)) {
            return new Decision(Verdict.UNKNOWN, null);
        }
        if (entries.size() >= settings.maxRecords()) {
            return new Decision(Verdict.FULL, null);
        }
        entries.put(id, new Entry(new IdempotencyRecord(id, fingerprint, State.RUNNING, null), nowMillis));
        return new Decision(Verdict.RUN, null);
    }

    private static Decision decideRecorded(IdempotencyRecord record, long fingerprint) {
        if (record.fingerprint() != fingerprint) {
            return new Decision(Verdict.REUSED, null);
        }
        return switch (record.state()) {
            case RUNNING -> new Decision(Verdict.STILL_RUNNING, null);
            case MAY_HAVE_RUN -> new Decision(Verdict.UNKNOWN, null);
            case DONE -> new Decision(
                    record.outcome().body() == null ? Verdict.UNKNOWN : Verdict.REPLAY, record.outcome());
        };
    }

    private RecordContinuity continuityOf(ShardId shard, long nowMillis) {
        ContinuityStart since = continuityStarts.get(shard);
        if (since == null) {
            return RecordContinuity.PREDECESSOR_LOST;
        }
        boolean windowPassed = nowMillis - since.sinceMillis() >= settings.windowMillis();
        return windowPassed ? RecordContinuity.COMPLETE : since.continuity();
    }

    /** Records the outcome of an attempt that was answered; a body above the maximum size is not kept. */
    public void markDone(IdempotencyRecord.Id id, Outcome outcome) {
        boolean keep = outcome.body() != null && outcome.body().length <= settings.maxBodyBytes();
        update(id, State.DONE, keep ? outcome : new Outcome(outcome.status(), outcome.headers(), null));
    }

    /** Records that the attempt may have run. */
    public void markMayHaveRun(IdempotencyRecord.Id id) {
        update(id, State.MAY_HAVE_RUN, null);
    }

    /**
     * Removes the record of an attempt that provably did not run; the key can be used again unless another VM's record
     * of it was transferred meanwhile.
     */
    public void markNotRun(IdempotencyRecord.Id id) {
        Entry removed = entries.remove(id);
        if (removed != null && removed.transferred() != null) {
            entries.put(id, removed.transferred());
        }
    }

    private void update(IdempotencyRecord.Id id, State state, Outcome outcome) {
        entries.computeIfPresent(
                id, (key, entry) -> new Entry(entry.record().with(state, outcome), entry.madeAtMillis()));
    }

    /** Returns copies of the records of the given shards, for transfer to their next dispatcher. */
    public List<IdempotencyRecord> transferCopies(Set<ShardId> shards) {
        List<IdempotencyRecord> copies = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (shards.contains(entry.record().id().shard())) {
                copies.add(entry.record().toTransferCopy());
            }
        }
        return copies;
    }

    /** Returns the number of records. */
    public int size() {
        return entries.size();
    }

    /** Returns the maximum size of a body that is kept with an outcome, in bytes. */
    public int maxBodyBytes() {
        return settings.maxBodyBytes();
    }

    private void expire(long nowMillis) {
        long oldestMillis = nowMillis - settings.windowMillis();
        Iterator<Entry> it = entries.values().iterator();
        while (it.hasNext()) {
            Entry entry = it.next();
            if (entry.madeAtMillis() > oldestMillis) {
                return;
            }
            if (entry.record().state() != State.RUNNING) {
                it.remove();
            }
        }
    }
}

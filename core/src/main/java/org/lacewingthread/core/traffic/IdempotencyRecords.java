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
 * Records of non-repeatable requests under their idempotency keys, held by the one dispatcher of
 * their server, so that a repeat gets the first outcome or "outcome unknown" and never a second run.
 *
 * <pre>{@code
 * switch (records.begin(id, served, fingerprint, attempt, nowMillis).verdict()) {
 *     case RUN: // send it, then records.done(id, outcome) or records.notRun(id) or records.mayHaveRun(id)
 *     ...
 * }
 * }</pre>
 *
 * <p>A record is kept for the window after it was made, and for as long as its attempt runs. The
 * memory is bounded: with all places taken by records within the window, new requests are refused
 * rather than old records dropped. What a VM that has just become the dispatcher may vouch for is
 * told by {@link RecordContinuity}. Not safe for use by several threads.
 */
public final class IdempotencyRecords {
    private final Settings settings;
    private final Map<IdempotencyRecord.Id, Entry> entries = new LinkedHashMap<>();
    private final Map<ShardId, ContinuityStart> continuityStarts = new HashMap<>();

    /**
     * Settings of the records.
     *
     * @param windowMillis how long after its first attempt a request may be repeated
     * @param maxRecords most records kept
     * @param maxBodyBytes largest body that is kept with an outcome
     */
    public record Settings(long windowMillis, int maxRecords, int maxBodyBytes) {
        /** Defaults. */
        public static final Settings DEFAULT = new Settings(120_000, 50_000, 4_096);

        /** Checks ranges. */
        public Settings {
            if (windowMillis < 1 || maxRecords < 1 || maxBodyBytes < 0) {
                throw new IllegalArgumentException("window of " + windowMillis + " ms, " + maxRecords
                        + " records and bodies of " + maxBodyBytes + " bytes are not valid limits");
            }
        }
    }

    /** What to do with a request. */
    public enum Verdict {
        /** Run it; a record of it was made. */
        RUN,
        /** An earlier attempt still runs. */
        STILL_RUNNING,
        /** Answer with the first outcome. */
        REPLAY,
        /** An earlier attempt may have run. */
        UNKNOWN,
        /** The key belongs to another request. */
        REUSED,
        /** All places are taken. */
        FULL
    }

    /**
     * Answer of {@link #begin}.
     *
     * @param verdict what to do
     * @param outcome the first outcome, or null unless {@link Verdict#REPLAY}
     */
    public record Decision(Verdict verdict, Outcome outcome) {}

    private record Entry(IdempotencyRecord record, long madeAtMillis) {}

    private record ContinuityStart(RecordContinuity continuity, long sinceMillis) {}

    /** Creates an empty set of records. */
    public IdempotencyRecords(Settings settings) {
        this.settings = settings;
    }

    /** Takes in what is known of a shard's earlier records when this VM becomes its dispatcher. */
    public void startShard(ShardId shard, RecordContinuity continuity, long nowMillis) {
        continuityStarts.put(shard, new ContinuityStart(continuity, nowMillis));
    }

    /** Takes in that this VM is no longer the dispatcher of a shard; its records stay for the window. */
    public void endShard(ShardId shard) {
        continuityStarts.remove(shard);
    }

    /** Takes in a record that another VM made. */
    public void addTransferred(IdempotencyRecord record, long nowMillis) {
        entries.putIfAbsent(record.id(), new Entry(record.toTransferCopy(), nowMillis));
    }

    /**
     * Takes in that a split-out key was merged back: the shard it came from vouches for no more than
     * what was known of both.
     */
    public void onKeyMergedBack(ShardId shard, ShardId merged, long nowMillis) {
        if (continuityOf(merged, nowMillis) != RecordContinuity.COMPLETE) {
            continuityStarts.put(shard, new ContinuityStart(RecordContinuity.PREDECESSOR_LOST, nowMillis));
        }
    }

    /**
     * Decides on a request; with {@link Verdict#RUN} it counts as running.
     *
     * @param id its idempotency key
     * @param served shard under which its key is served now
     * @param fingerprint tells whether the key is used for another request
     * @param attempt what the caller states
     * @param nowMillis monotonic time
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

    /** Takes in that the attempt under a key ran and was answered; a large body is not kept. */
    public void markDone(IdempotencyRecord.Id id, Outcome outcome) {
        boolean keep = outcome.body() != null && outcome.body().length <= settings.maxBodyBytes();
        update(id, State.DONE, keep ? outcome : new Outcome(outcome.status(), outcome.headers(), null));
    }

    /** Takes in that the attempt under a key may have run. */
    public void markMayHaveRun(IdempotencyRecord.Id id) {
        update(id, State.MAY_HAVE_RUN, null);
    }

    /** Takes in that the attempt under a key provably did not run; the key is free again. */
    public void markNotRun(IdempotencyRecord.Id id) {
        entries.remove(id);
    }

    private void update(IdempotencyRecord.Id id, State state, Outcome outcome) {
        entries.computeIfPresent(
                id, (key, entry) -> new Entry(entry.record().with(state, outcome), entry.madeAtMillis()));
    }

    /** Returns copies of the records of some shards, for the VM that dispatches for them next. */
    public List<IdempotencyRecord> transferCopies(Set<ShardId> shards) {
        List<IdempotencyRecord> copies = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (shards.contains(entry.record().id().shard())) {
                copies.add(entry.record().toTransferCopy());
            }
        }
        return copies;
    }

    /** Returns how many records are kept. */
    public int size() {
        return entries.size();
    }

    /** Returns the largest body that is kept with an outcome. */
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

package org.lacewingthread.daemon.dispatch;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import net.openhft.hashing.LongHashFunction;
import org.lacewingthread.core.control.ControlView;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.id.VmStart;
import org.lacewingthread.core.log.ReplicaState;
import org.lacewingthread.core.traffic.AttemptNumber;
import org.lacewingthread.core.traffic.IdempotencyRecord;
import org.lacewingthread.core.traffic.IdempotencyRecord.Outcome;
import org.lacewingthread.core.traffic.IdempotencyRecords;
import org.lacewingthread.core.traffic.IdempotencyRecords.Decision;
import org.lacewingthread.core.traffic.RecordContinuity;
import org.lacewingthread.core.traffic.ResponseStatus;
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioIoThread;

/**
 * Holds the idempotency records of the requests that this VM dispatches, from their admission until the idempotency
 * window ends, or longer while an attempt still runs. Decides whether a non-repeatable request with an idempotency key
 * may run, has its record replicated before it is sent, and collects the records of shards that this VM takes over.
 * Thread-safe; shared by all {@link ServerDispatcher}s.
 *
 * <p>Copies held for other VMs are in {@link PeerIdempotencyRecords}.
 */
final class LocalIdempotencyRecords {
    private static final String ATTEMPT_HEADER = "Lacewingthread-Attempt";
    private static final long COLLECTION_POLL_MILLIS = 10;
    private static final long FULL_RETRY_MILLIS = 1_000;
    private static final long NOT_STARTED = -1;

    /** Shard that a request was admitted for, and number of the start of dispatching for it. */
    record Admission(ShardId shard, long startNumber) {}

    private final IdempotencyRecords records;
    private final int maxRecordedBodyBytes;
    private final IdempotencyRecordReplicator replicator;
    private final LongSupplier clockMillis;
    private final Map<ShardId, VmStart> lastDispatchers = new HashMap<>();
    private final Map<ShardId, ShardId> splitKeyOrigins = new HashMap<>();
    /** Shards that this VM dispatches for, with the number of their last start. */
    private final Map<ShardId, Long> localShards = new HashMap<>();
    /** Start number for which each shard collects records. An answer for an earlier start may be outdated. */
    private final Map<ShardId, Long> collectingShards = new HashMap<>();

    private volatile IdempotencyShardMapping shardMapping = IdempotencyShardMapping.of(ReplicaState.EMPTY);
    private RoutePlan appliedPlan;
    private Set<ShardId> gainedShards = Set.of();
    private long lastStartNumber;
    private long leaseEndMillis = Long.MIN_VALUE;

    LocalIdempotencyRecords(
            IdempotencyRecords.Settings settings, IdempotencyRecordReplicator replicator, LongSupplier clockMillis) {
        this.records = new IdempotencyRecords(settings);
        this.maxRecordedBodyBytes = settings.maxBodyBytes();
        this.replicator = replicator;
        this.clockMillis = clockMillis;
    }

    int maxRecordedBodyBytes() {
        return maxRecordedBodyBytes;
    }

    /**
     * Applies a view that is about to be published: starts the shards that this VM gains and ends those that it loses.
     * Requests admitted before a shard ended are no longer sent from then on.
     */
    synchronized void prepareView(ControlView view) {
        lastStartNumber++;
        gainedShards = applyView(view);
    }

    /** Collects the records of the shards that this VM gained with the newest view, once it is published. */
    void onViewPublished() {
        Set<ShardId> gained;
        long startNumber;
        synchronized (this) {
            gained = gainedShards;
            gainedShards = Set.of();
            startNumber = lastStartNumber;
        }
        if (!gained.isEmpty()) {
            replicator.collect(
                    shardMapping.hashedShardsOf(gained), collected -> onCollected(gained, startNumber, collected));
        }
    }

    private Set<ShardId> applyView(ControlView view) {
        shardMapping = IdempotencyShardMapping.of(view.state());
        endShardsIfLeaseLapsed(view);
        Optional<RoutePlan> plan = view.plan();
        boolean isNew = plan.isPresent() && (appliedPlan == null || plan.get().supersedes(appliedPlan));
        return isNew ? applyPlan(plan.get(), view.self()) : Set.of();
    }

    /** Ends all shards if the dispatch lease lapsed: another VM may have dispatched since, whatever the plan says. */
    private void endShardsIfLeaseLapsed(ControlView view) {
        if (clockMillis.getAsLong() >= leaseEndMillis) {
            localShards.keySet().forEach(records::endShard);
            localShards.clear();
            appliedPlan = null;
        }
        leaseEndMillis = view.dispatchDeadlineMillis();
    }

    private Set<ShardId> applyPlan(RoutePlan plan, VmStart self) {
        appliedPlan = plan;
        Set<ShardId> gained = new HashSet<>();
        Set<ShardId> lost = new HashSet<>(localShards.keySet());
        plan.owners().forEach((shard, ownership) -> {
            VmStart dispatcher = plan.dispatchers().get(ownership.server());
            if (dispatcher == null) {
                return;
            }
            VmStart former = lastDispatchers.put(shard, dispatcher);
            if (!dispatcher.equals(self)) {
                return;
            }
            lost.remove(shard);
            if (localShards.putIfAbsent(shard, lastStartNumber) == null) {
                VmStart known = former == null ? lastDispatchers.get(shardMapping.hashedShardOf(shard)) : former;
                startShard(shard, known == null || known.equals(self));
                gained.add(shard);
            }
        });
        localShards.keySet().removeAll(lost);
        lost.forEach(this::endShard);
        return gained;
    }

    private void startShard(ShardId shard, boolean noOtherKnown) {
        RecordContinuity continuity =
                noOtherKnown ? RecordContinuity.NO_KNOWN_PREDECESSOR : RecordContinuity.PREDECESSOR_LOST;
        records.startShard(shard, continuity, clockMillis.getAsLong());
        collectingShards.put(shard, lastStartNumber);
        ShardId hashed = shardMapping.hashedShardOf(shard);
        if (!hashed.equals(shard)) {
            splitKeyOrigins.put(shard, hashed);
        }
    }

    /** Ends a shard. When a split key is merged back, the shard it came from inherits any gap in its records. */
    private void endShard(ShardId shard) {
        ShardId origin = splitKeyOrigins.remove(shard);
        if (origin != null && localShards.containsKey(origin)) {
            records.onKeyMergedBack(origin, shard, clockMillis.getAsLong());
        }
        records.endShard(shard);
    }

    private synchronized void onCollected(
            Set<ShardId> shards, long startNumber, IdempotencyRecordReplicator.CollectedRecords collected) {
        long nowMillis = clockMillis.getAsLong();
        collected.records().forEach(record -> records.addTransferred(record, nowMillis));
        for (ShardId shard : shards) {
            boolean isNewest = collectingShards.remove(shard, startNumber);
            if (isNewest && collected.complete() && localShards.containsKey(shard)) {
                records.startShard(shard, RecordContinuity.COMPLETE, nowMillis);
            }
        }
    }

    /**
     * Returns whether a request may be queued. A request that may not run gets its result here. While the records
     * of its shard are being collected, false is returned and {@code again} runs after a delay.
     */
    boolean admitOrAnswer(PendingRequest pending, XnioIoThread ioThread, Runnable again) {
        RoutedRequest request = pending.request();
        if (request.requestClass().mayRepeat() || request.idempotencyKey().isEmpty()) {
            return true;
        }
        Decision decision;
        synchronized (this) {
            ShardId served = shardMapping.currentShardOf(request);
            if (collectingShards.containsKey(served)) {
                ioThread.executeAfter(again, COLLECTION_POLL_MILLIS, TimeUnit.MILLISECONDS);
                return false;
            }
            decision = records.begin(
                    idOf(request), served, fingerprintOf(request), attemptNumberOf(request), clockMillis.getAsLong());
            pending.setAdmission(admissionOf(request));
        }
        return applyDecision(decision, pending);
    }

    /**
     * Returns whether the decision to run a request still holds. It does not once this VM stopped dispatching for the
     * shard, even if it dispatches for it again: another VM may have run a repeat meanwhile.
     */
    boolean isAdmissionCurrent(PendingRequest pending) {
        if (!pending.hasRunningRecord()) {
            return true;
        }
        synchronized (this) {
            return admissionOf(pending.request()).equals(pending.admission());
        }
    }

    private Admission admissionOf(RoutedRequest request) {
        ShardId served = shardMapping.currentShardOf(request);
        return new Admission(served, localShards.getOrDefault(served, NOT_STARTED));
    }

    private static boolean applyDecision(Decision decision, PendingRequest pending) {
        switch (decision.verdict()) {
            case RUN -> {
                pending.setHasRunningRecord(true);
                return true;
            }
            case REPLAY -> replayOutcome(decision.outcome(), pending);
            case STILL_RUNNING -> pending.fail(ResultCode.STILL_RUNNING, 0, "the first attempt still runs");
            case UNKNOWN -> pending.fail(ResultCode.REPEAT_UNKNOWN, 0, "an earlier attempt may have run");
                // "Not run" is certain for these two: the request was not queued, so it can't be sent.
            case REUSED -> pending.fail(ResultCode.IDEMPOTENCY_KEY_REUSED, 0, "use a new key for a new request");
            case FULL -> pending.fail(ResultCode.OVERLOADED, FULL_RETRY_MILLIS, "too many idempotency keys in use");
            default -> throw new IllegalStateException("unknown verdict " + decision.verdict());
        }
        return false;
    }

    /** Passes a recorded outcome on, unless its status promises that the request did not run; older versions stored such. */
    private static void replayOutcome(Outcome outcome, PendingRequest pending) {
        Optional<ResponseStatus> status = ResponseStatus.ofServer(outcome.status());
        if (status.isEmpty()) {
            pending.fail(ResultCode.SERVER_FAILED, 0, "the server answered " + outcome.status() + " to its run");
            return;
        }
        List<HeaderField> headers = new ArrayList<>();
        for (int i = 0; i + 1 < outcome.headers().size(); i += 2) {
            headers.add(
                    new HeaderField(outcome.headers().get(i), outcome.headers().get(i + 1)));
        }
        pending.forwardHead(status.get(), headers);
        if (outcome.body().length > 0) {
            pending.forwardBody(outcome.body(), () -> {});
        }
        pending.complete();
    }

    /** Replicates the request's record, if any, to another VM; reports on the I/O thread whether it may be sent. */
    void replicateBeforeSend(PendingRequest pending, XnioIoThread ioThread, Consumer<Boolean> next) {
        if (!pending.hasRunningRecord()) {
            next.accept(true);
            return;
        }
        IdempotencyRecord record = new IdempotencyRecord(
                idOf(pending.request()), fingerprintOf(pending.request()), IdempotencyRecord.State.MAY_HAVE_RUN, null);
        replicator.replicate(
                record,
                result -> ioThread.execute(
                        () -> next.accept(result != IdempotencyRecordReplicator.ReplicationResult.FAILED)));
    }

    /** Removes the record of a request that provably did not run, so that its key can be used again. */
    synchronized void markNotRun(PendingRequest pending) {
        if (pending.hasRunningRecord()) {
            pending.setHasRunningRecord(false);
            records.markNotRun(idOf(pending.request()));
        }
    }

    /** Records that a request may have run with an unknown outcome. */
    synchronized void markMayHaveRun(PendingRequest pending) {
        if (pending.hasRunningRecord()) {
            pending.setHasRunningRecord(false);
            records.markMayHaveRun(idOf(pending.request()));
        }
    }

    /** Records the outcome of a request and replicates it. */
    void markDone(PendingRequest pending, Outcome outcome) {
        if (!pending.hasRunningRecord()) {
            return;
        }
        pending.setHasRunningRecord(false);
        IdempotencyRecord.Id id = idOf(pending.request());
        synchronized (this) {
            records.markDone(id, outcome);
        }
        replicator.replicate(
                new IdempotencyRecord(id, fingerprintOf(pending.request()), IdempotencyRecord.State.DONE, outcome),
                result -> {});
    }

    /** Returns copies of the records of some shards, for the VM that dispatches for them next. */
    synchronized List<IdempotencyRecord> copiesOf(Set<ShardId> shards) {
        return records.transferCopies(shards);
    }

    private IdempotencyRecord.Id idOf(RoutedRequest request) {
        return new IdempotencyRecord.Id(
                shardMapping.hashedShardOf(request), request.idempotencyKey().orElseThrow());
    }

    private static long fingerprintOf(RoutedRequest request) {
        String target = request.method() + " " + request.path();
        long targetHash = LongHashFunction.xx3().hashBytes(target.getBytes(StandardCharsets.UTF_8));
        return LongHashFunction.xx3(targetHash).hashBytes(request.body());
    }

    private static AttemptNumber attemptNumberOf(RoutedRequest request) {
        for (HeaderField field : request.headers()) {
            if (field.name().equalsIgnoreCase(ATTEMPT_HEADER)) {
                return AttemptNumber.parse(field.value()).orElse(AttemptNumber.REPEAT);
            }
        }
        return AttemptNumber.UNSTATED;
    }
}

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
import org.lacewingthread.core.traffic.ResultCode;
import org.lacewingthread.daemon.exchange.HeaderField;
import org.lacewingthread.daemon.exchange.RoutedRequest;
import org.xnio.XnioIoThread;

/**
 * The idempotency records of this VM, shared by its lanes: decides whether a request with a key may
 * run, has its record copied before it is sent, and collects records of shards that this VM takes
 * over. Safe for use by several threads.
 */
final class RecordKeeper {
    private static final String ATTEMPT_HEADER = "Lacewingthread-Attempt";
    private static final long COLLECT_CHECK_MILLIS = 10;
    private static final long FULL_RETRY_MILLIS = 1_000;

    private final IdempotencyRecords records;
    private final int maxBodyBytes;
    private final RecordReplica replica;
    private final LongSupplier clockMillis;
    private final Map<ShardId, VmStart> lastDispatchers = new HashMap<>();
    private final Map<ShardId, ShardId> origins = new HashMap<>();
    private final Set<ShardId> local = new HashSet<>();
    private final Set<ShardId> collecting = new HashSet<>();
    private volatile RecordShards shards = RecordShards.of(ReplicaState.EMPTY);
    private RoutePlan appliedPlan;
    private long leaseEndMillis = Long.MIN_VALUE;

    RecordKeeper(IdempotencyRecords.Settings settings, RecordReplica replica, LongSupplier clockMillis) {
        this.records = new IdempotencyRecords(settings);
        this.maxBodyBytes = settings.maxBodyBytes();
        this.replica = replica;
        this.clockMillis = clockMillis;
    }

    int maxBodyBytes() {
        return maxBodyBytes;
    }

    /** Takes in a view: tells the records of shards that this VM gains and loses. */
    void onView(ControlView view) {
        Set<ShardId> gained = takeIn(view);
        if (!gained.isEmpty()) {
            replica.collect(shards.hashedShardsOf(gained), collected -> onCollected(gained, collected));
        }
    }

    private synchronized Set<ShardId> takeIn(ControlView view) {
        shards = RecordShards.of(view.state());
        forgetIfLapsed(view);
        Optional<RoutePlan> plan = view.plan();
        boolean isNew = plan.isPresent() && (appliedPlan == null || plan.get().supersedes(appliedPlan));
        return isNew ? applyPlan(plan.get(), view.self()) : Set.of();
    }

    /** After a lapse of the dispatch lease another VM may have dispatched, whatever the newest plan says. */
    private void forgetIfLapsed(ControlView view) {
        if (clockMillis.getAsLong() >= leaseEndMillis) {
            local.forEach(records::endShard);
            local.clear();
            appliedPlan = null;
        }
        leaseEndMillis = view.dispatchDeadlineMillis();
    }

    private Set<ShardId> applyPlan(RoutePlan plan, VmStart self) {
        appliedPlan = plan;
        Set<ShardId> gained = new HashSet<>();
        Set<ShardId> lost = new HashSet<>(local);
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
            if (local.add(shard)) {
                VmStart known = former == null ? lastDispatchers.get(shards.hashedShardOf(shard)) : former;
                startShard(shard, known == null || known.equals(self));
                gained.add(shard);
            }
        });
        local.removeAll(lost);
        lost.forEach(this::endShard);
        return gained;
    }

    private void startShard(ShardId shard, boolean noOtherKnown) {
        RecordContinuity continuity =
                noOtherKnown ? RecordContinuity.NO_KNOWN_PREDECESSOR : RecordContinuity.PREDECESSOR_LOST;
        records.startShard(shard, continuity, clockMillis.getAsLong());
        collecting.add(shard);
        ShardId hashed = shards.hashedShardOf(shard);
        if (!hashed.equals(shard)) {
            origins.put(shard, hashed);
        }
    }

    /** A split-out key that is merged back leaves what is not known of it to the shard it came from. */
    private void endShard(ShardId shard) {
        ShardId origin = origins.remove(shard);
        if (origin != null && local.contains(origin)) {
            records.onKeyMergedBack(origin, shard, clockMillis.getAsLong());
        }
        records.endShard(shard);
    }

    private synchronized void onCollected(Set<ShardId> shards, RecordReplica.Collected collected) {
        long nowMillis = clockMillis.getAsLong();
        collected.records().forEach(record -> records.addTransferred(record, nowMillis));
        for (ShardId shard : shards) {
            collecting.remove(shard);
            if (collected.complete() && local.contains(shard)) {
                records.startShard(shard, RecordContinuity.COMPLETE, nowMillis);
            }
        }
    }

    /**
     * Decides whether a request may run. If not, it gets its answer here; while the records of its
     * shard are being collected, it is put off.
     */
    boolean begin(PendingRequest pending, XnioIoThread ioThread, Runnable again) {
        RoutedRequest request = pending.request();
        if (request.requestClass().mayRepeat() || request.idempotencyKey().isEmpty()) {
            return true;
        }
        Decision decision;
        synchronized (this) {
            ShardId served = shards.servedShardOf(request);
            if (collecting.contains(served)) {
                ioThread.executeAfter(again, COLLECT_CHECK_MILLIS, TimeUnit.MILLISECONDS);
                return false;
            }
            decision = records.begin(
                    idOf(request), served, fingerprintOf(request), attemptOf(request), clockMillis.getAsLong());
        }
        return carryOut(decision, pending);
    }

    private static boolean carryOut(Decision decision, PendingRequest pending) {
        switch (decision.verdict()) {
            case RUN -> {
                pending.setRecorded(true);
                return true;
            }
            case REPLAY -> replay(decision.outcome(), pending);
            case STILL_RUNNING -> pending.fail(ResultCode.STILL_RUNNING, 0, "the first attempt still runs");
            case UNKNOWN -> pending.fail(ResultCode.REPEAT_UNKNOWN, 0, "an earlier attempt may have run");
                // Proof of "not run" for these two: the request was not queued, so it can't be sent.
            case REUSED -> pending.fail(ResultCode.IDEMPOTENCY_KEY_REUSED, 0, "use a new key for a new request");
            case FULL -> pending.fail(ResultCode.OVERLOADED, FULL_RETRY_MILLIS, "too many idempotency keys in use");
            default -> throw new IllegalStateException("unknown verdict " + decision.verdict());
        }
        return false;
    }

    private static void replay(Outcome outcome, PendingRequest pending) {
        List<HeaderField> headers = new ArrayList<>();
        for (int i = 0; i + 1 < outcome.headers().size(); i += 2) {
            headers.add(
                    new HeaderField(outcome.headers().get(i), outcome.headers().get(i + 1)));
        }
        pending.head(outcome.status(), headers);
        if (outcome.body().length > 0) {
            pending.body(outcome.body(), () -> {});
        }
        pending.end();
    }

    /** Has the record of a request copied to another VM, if it has one; goes on on the I/O thread. */
    void copyBeforeSend(PendingRequest pending, XnioIoThread ioThread, Consumer<Boolean> next) {
        if (!pending.isRecorded()) {
            next.accept(true);
            return;
        }
        IdempotencyRecord record = new IdempotencyRecord(
                idOf(pending.request()), fingerprintOf(pending.request()), IdempotencyRecord.State.MAY_HAVE_RUN, null);
        replica.put(record, result -> ioThread.execute(() -> next.accept(result != RecordReplica.PutResult.FAILED)));
    }

    /** Frees the key of a request that provably did not run. */
    synchronized void release(PendingRequest pending) {
        if (pending.isRecorded()) {
            pending.setRecorded(false);
            records.markNotRun(idOf(pending.request()));
        }
    }

    /** Takes in that a request may have run. */
    synchronized void mayHaveRun(PendingRequest pending) {
        if (pending.isRecorded()) {
            pending.setRecorded(false);
            records.markMayHaveRun(idOf(pending.request()));
        }
    }

    /** Takes in the outcome of a request, and has it copied. */
    void done(PendingRequest pending, Outcome outcome) {
        if (!pending.isRecorded()) {
            return;
        }
        pending.setRecorded(false);
        IdempotencyRecord.Id id = idOf(pending.request());
        synchronized (this) {
            records.markDone(id, outcome);
        }
        replica.put(
                new IdempotencyRecord(id, fingerprintOf(pending.request()), IdempotencyRecord.State.DONE, outcome),
                result -> {});
    }

    /** Returns copies of the records of some shards, for the VM that dispatches for them next. */
    synchronized List<IdempotencyRecord> copiesOf(Set<ShardId> shards) {
        return records.transferCopies(shards);
    }

    private IdempotencyRecord.Id idOf(RoutedRequest request) {
        return new IdempotencyRecord.Id(
                shards.hashedShardOf(request), request.idempotencyKey().orElseThrow());
    }

    private static long fingerprintOf(RoutedRequest request) {
        String target = request.method() + " " + request.path();
        long targetHash = LongHashFunction.xx3().hashBytes(target.getBytes(StandardCharsets.UTF_8));
        return LongHashFunction.xx3(targetHash).hashBytes(request.body());
    }

    private static AttemptNumber attemptOf(RoutedRequest request) {
        for (HeaderField field : request.headers()) {
            if (field.name().equalsIgnoreCase(ATTEMPT_HEADER)) {
                return AttemptNumber.parse(field.value()).orElse(AttemptNumber.REPEAT);
            }
        }
        return AttemptNumber.UNSTATED;
    }
}

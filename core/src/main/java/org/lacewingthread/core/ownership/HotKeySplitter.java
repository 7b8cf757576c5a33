package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.RoutePlan;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.core.ownership.ShardMove.Cause;

/**
 * Splits hot keys into shards of their own, so that {@link ShardRebalancer} can move them apart from the rest
 * of their base shard, and merges them back after they have been cold for {@code COLD_BEFORE_MERGE_MILLIS}.
 */
final class HotKeySplitter {
    private static final long EVALUATION_INTERVAL_MILLIS = 5_000;
    private static final long COLD_BEFORE_MERGE_MILLIS = 60_000;
    private static final int MAX_SPLITS_PER_EVALUATION = 8;
    private static final int MAX_SPLIT_KEYS = 128;
    private static final double HOT_KEY_SHARE_RATIO = 0.5;
    private static final double HOT_SHARD_RATIO = 0.1;
    private static final double COLD_SHARD_RATIO = 0.03;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final SplitKeyShards splits;
    private final Map<ShardId, Long> coldSinceMillis = new HashMap<>();
    private final Map<Long, Long> requestedUntilMillis = new HashMap<>();
    private long nextEvaluationMillis = Long.MIN_VALUE;

    HotKeySplitter(PlanDraft draft, ServerDirectory directory, ShardMoves moves, SplitKeyShards splits) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
        this.splits = splits;
    }

    /** Returns the records that split hot keys and merge cold ones. */
    List<LogRecord> step(StepContext step) {
        if (step.nowMillis() < nextEvaluationMillis
                || !step.inputs().logReachable()
                || !step.predecessorLeasesExpired()) {
            return List.of();
        }
        nextEvaluationMillis = step.nowMillis() + EVALUATION_INTERVAL_MILLIS;
        requestedUntilMillis.values().removeIf(until -> step.nowMillis() >= until);
        List<LogRecord> records = new ArrayList<>();
        double meanLoad = meanServerLoad(step);
        if (meanLoad > 0) {
            for (ApplicationSpec application : directory.applications()) {
                splitHotKeys(step, application, meanLoad).ifPresent(records::add);
            }
            records.addAll(mergeColdKeys(step, meanLoad));
        }
        return records;
    }

    private double meanServerLoad(StepContext step) {
        return directory.servers().stream()
                .map(s -> step.inputs().serverLoads().get(s.id()))
                .filter(l -> l != null)
                .mapToDouble(ServerLoad::requestsPerSecond)
                .average()
                .orElse(0);
    }

    private Optional<LogRecord> splitHotKeys(StepContext step, ApplicationSpec application, double meanLoad) {
        ShardTable table = step.inputs().state().shardTables().get(application.id());
        boolean configurationApplied =
                splits.allDispatchersApplied(step, step.inputs().state().configurationRevision());
        if (table == null || table.splitKeys().size() >= MAX_SPLIT_KEYS || !configurationApplied) {
            return Optional.empty();
        }
        double threshold = application.profile().imbalanceThresholdRatio();
        List<ServerLoad.ShardLoad> hotShards = new ArrayList<>();
        for (ServerSpec server : directory.servers()) {
            ServerLoad load = step.inputs().serverLoads().get(server.id());
            if (load != null && load.requestsPerSecond() > threshold * meanLoad) {
                load.hottestShards().stream()
                        .filter(s -> isHot(step, application.id(), table, server.id(), s, meanLoad))
                        .forEach(hotShards::add);
            }
        }
        List<Long> hashes = hotShards.stream()
                .sorted(Comparator.comparingDouble(ServerLoad.ShardLoad::requestsPerSecond)
                        .reversed())
                .map(ServerLoad.ShardLoad::hottestKeyHash)
                .distinct()
                .limit(MAX_SPLITS_PER_EVALUATION)
                .toList();
        hashes.forEach(h -> requestedUntilMillis.put(h, step.nowMillis() + 2 * EVALUATION_INTERVAL_MILLIS));
        return hashes.isEmpty()
                ? Optional.empty()
                : Optional.of(new LogRecord.KeysSplit(
                        step.inputs().dataCentre(), step.inputs().term(), application.id(), hashes));
    }

    private boolean isHot(
            StepContext step,
            ApplicationId application,
            ShardTable table,
            ServerId server,
            ServerLoad.ShardLoad load,
            double meanLoad) {
        ShardId shard = load.shard();
        return shard.application().equals(application)
                && shard.index() < table.shardCount()
                && load.requestsPerSecond() > HOT_SHARD_RATIO * meanLoad
                && load.hottestKeyShare() >= HOT_KEY_SHARE_RATIO
                && !table.splitKeys().containsKey(load.hottestKeyHash())
                && !requestedUntilMillis.containsKey(load.hottestKeyHash())
                && isSettled(step, shard)
                && draft.ownerOf(shard).orElseThrow().server().equals(server);
    }

    /** Returns whether a shard is served under its recorded token and is not moving. */
    private boolean isSettled(StepContext step, ShardId shard) {
        return !moves.isMoving(shard)
                && step.isResponsibleFor(step.tableEntry(shard))
                && draft.ownerOf(shard)
                        .filter(o -> o.token()
                                .equals(step.tableEntry(shard).assignment().token()))
                        .isPresent();
    }

    private List<LogRecord> mergeColdKeys(StepContext step, double meanLoad) {
        Set<ShardId> warmShards = new HashSet<>();
        for (ServerLoad load : step.inputs().serverLoads().values()) {
            load.hottestShards().stream()
                    .filter(s -> s.requestsPerSecond() > COLD_SHARD_RATIO * meanLoad)
                    .forEach(s -> warmShards.add(s.shard()));
        }
        Map<ApplicationId, List<Long>> merged = new TreeMap<>();
        for (ShardId shard : splits.all().keySet().stream().sorted().toList()) {
            if (warmShards.contains(shard) || !isSettled(step, shard)) {
                coldSinceMillis.remove(shard);
                continue;
            }
            long coldFromMillis = coldSinceMillis.computeIfAbsent(shard, s -> step.nowMillis());
            if (step.nowMillis() - coldFromMillis >= COLD_BEFORE_MERGE_MILLIS) {
                mergeOrMove(step, shard, merged);
            }
        }
        coldSinceMillis.keySet().retainAll(splits.all().keySet());
        List<LogRecord> records = new ArrayList<>();
        merged.forEach((application, hashes) -> records.add(new LogRecord.KeysMerged(
                step.inputs().dataCentre(), step.inputs().term(), application, hashes)));
        return records;
    }

    /** Requests the merge of a key if its owner also owns the base shard; otherwise moves the key there first. */
    private void mergeOrMove(StepContext step, ShardId shard, Map<ApplicationId, List<Long>> merged) {
        SplitKeyShards.SplitKey split = splits.split(shard).orElseThrow();
        if (!isSettled(step, split.baseShard()) || requestedUntilMillis.containsKey(split.keyHash())) {
            return;
        }
        ServerId baseOwner = draft.ownerOf(split.baseShard())
                .map(RoutePlan.Ownership::server)
                .orElseThrow();
        if (draft.ownerOf(shard).orElseThrow().server().equals(baseOwner)) {
            requestedUntilMillis.put(split.keyHash(), step.nowMillis() + 2 * EVALUATION_INTERVAL_MILLIS);
            merged.computeIfAbsent(shard.application(), a -> new ArrayList<>()).add(split.keyHash());
            return;
        }
        moves.startMove(step, shard, Cause.BALANCE, Optional.of(baseOwner));
    }
}

package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.control.ServerLoad;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.ownership.ShardMove.Cause;
import org.lacewingthread.core.placement.BalancePolicy;
import org.lacewingthread.core.placement.BalancePolicy.LoadedServer;
import org.lacewingthread.core.placement.BalancePolicy.LoadedShard;

/** Moves shards between servers when an imbalance lasts, up to a maximum number of moves per minute. */
final class ShardRebalancer {
    /** Time between two evaluations, long enough for a move to show in the load. */
    static final long EVALUATION_INTERVAL_MILLIS = 10_000;

    private static final int EVALUATIONS_BEFORE_MOVE = 2;
    private static final int EVALUATIONS_PER_MINUTE = 6;
    private static final double MIN_TOTAL_REQUESTS_PER_SECOND = 1;
    private static final double BASE_SHARD_LOAD_RATIO = 0.1;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Map<ApplicationId, Integer> imbalancedEvaluations = new HashMap<>();
    private long nextEvaluationMillis = Long.MIN_VALUE;

    ShardRebalancer(PlanDraft draft, ServerDirectory directory, ShardMoves moves) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
    }

    /** Evaluates the balance of each application if an evaluation is due and the log is reachable. */
    void step(StepContext step) {
        if (step.nowMillis() < nextEvaluationMillis
                || !step.inputs().logReachable()
                || !step.predecessorLeasesExpired()) {
            return;
        }
        nextEvaluationMillis = step.nowMillis() + EVALUATION_INTERVAL_MILLIS;
        for (ApplicationSpec application : directory.applications()) {
            evaluate(step, application);
        }
    }

    private void evaluate(StepContext step, ApplicationSpec application) {
        List<LoadedServer> work = serverWork(step, application);
        BalancePolicy policy = new BalancePolicy(application.profile());
        boolean rebalancing = imbalancedEvaluations.getOrDefault(application.id(), 0) >= EVALUATIONS_BEFORE_MOVE;
        boolean imbalanced = rebalancing ? policy.isBeyondTarget(work) : policy.isImbalanced(work);
        if (!imbalanced || moves.isAnyMoving(application.id())) {
            imbalancedEvaluations.remove(application.id());
            return;
        }
        int evaluations = imbalancedEvaluations.merge(application.id(), 1, Integer::sum);
        if (evaluations < EVALUATIONS_BEFORE_MOVE) {
            return;
        }
        int limit = Math.max(1, application.profile().maxMovesPerMinute() / EVALUATIONS_PER_MINUTE);
        List<BalancePolicy.Move> selected = policy.chooseMoves(work, limit);
        if (selected.isEmpty()) {
            imbalancedEvaluations.remove(application.id());
        }
        selected.forEach(m -> moves.startMove(step, m.shard(), Cause.BALANCE, Optional.of(m.to())));
    }

    /** Returns the trusted servers that may own shards of an application, each with its shards and their load. */
    List<LoadedServer> serverWork(StepContext step, ApplicationSpec application) {
        List<LoadedServer> result = new ArrayList<>();
        for (ServerSpec server : directory.servers()) {
            boolean eligible = directory.mayOwn(server.id(), application.id()) && directory.isTrusted(server.id());
            if (eligible) {
                List<ShardId> shards = draft.shardsOf(server.id());
                List<LoadedShard> loads = shards.stream()
                        .filter(s -> s.application().equals(application.id()))
                        .map(shardWorkEstimate(step, server.id(), shards)::of)
                        .toList();
                result.add(new LoadedServer(server.id(), directory.weightOf(server), loads));
            }
        }
        return result;
    }

    private interface ShardWorkEstimate {
        LoadedShard of(ShardId shard);
    }

    /**
     * Estimates the load of each shard on a server. Reported shard loads are used as measured; the remaining load
     * of the server is divided evenly over its other shards. A base load is added for every shard. Without a load
     * report of the server, each of its shards counts with the mean load per shard.
     */
    private ShardWorkEstimate shardWorkEstimate(StepContext step, ServerId server, List<ShardId> shards) {
        ServerLoad load = step.inputs().serverLoads().get(server);
        double meanPerShard = meanShardLoad(step);
        if (load == null || meanPerShard == 0) {
            return shard -> new LoadedShard(shard, meanPerShard == 0 ? 1 : meanPerShard);
        }
        Map<ShardId, Double> reported = new HashMap<>();
        for (ServerLoad.ShardLoad shard : load.hottestShards()) {
            if (draft.ownerOf(shard.shard())
                    .filter(o -> o.server().equals(server))
                    .isPresent()) {
                reported.put(shard.shard(), shard.requestsPerSecond());
            }
        }
        double reportedSum =
                reported.values().stream().mapToDouble(Double::doubleValue).sum();
        double unattributed =
                Math.max(0, load.requestsPerSecond() - reportedSum) / Math.max(1, shards.size() - reported.size());
        double baseLoad = BASE_SHARD_LOAD_RATIO * meanPerShard;
        return shard -> new LoadedShard(shard, baseLoad + reported.getOrDefault(shard, unattributed));
    }

    /** Returns the mean load per shard in requests per second, or 0 if the total load is too low to measure. */
    private double meanShardLoad(StepContext step) {
        double total = 0;
        int shards = 0;
        for (ServerSpec server : directory.servers()) {
            ServerLoad load = step.inputs().serverLoads().get(server.id());
            if (load != null) {
                total += load.requestsPerSecond();
                shards += draft.shardCountOf(server.id());
            }
        }
        return total < MIN_TOTAL_REQUESTS_PER_SECOND || shards == 0 ? 0 : total / shards;
    }
}

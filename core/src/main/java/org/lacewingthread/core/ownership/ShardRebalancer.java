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
import org.lacewingthread.core.placement.BalancePolicy.ServerWork;
import org.lacewingthread.core.placement.BalancePolicy.ShardWork;

/** Moves shards for balance: only if an imbalance lasts, and a bounded number a minute. */
final class ShardRebalancer {
    /** Time between two looks at the load, in which a move shows in it. */
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
        List<ServerWork> work = serverWork(step, application);
        BalancePolicy policy = new BalancePolicy(application.profile());
        boolean wasMoving = imbalancedEvaluations.getOrDefault(application.id(), 0) >= EVALUATIONS_BEFORE_MOVE;
        boolean imbalanced = wasMoving ? policy.isUnsettled(work) : policy.isImbalanced(work);
        if (!imbalanced || moves.isAnyMoving(application.id())) {
            imbalancedEvaluations.remove(application.id());
            return;
        }
        int looks = imbalancedEvaluations.merge(application.id(), 1, Integer::sum);
        if (looks < EVALUATIONS_BEFORE_MOVE) {
            return;
        }
        int limit = Math.max(1, application.profile().maxMovesPerMinute() / EVALUATIONS_PER_MINUTE);
        List<BalancePolicy.Move> chosen = policy.moves(work, limit);
        if (chosen.isEmpty()) {
            imbalancedEvaluations.remove(application.id());
        }
        chosen.forEach(m -> moves.startMove(step, m.shard(), Cause.BALANCE, Optional.of(m.to())));
    }

    /** Returns the servers that may own shards of an application, with their shards of it. */
    List<ServerWork> serverWork(StepContext step, ApplicationSpec application) {
        List<ServerWork> result = new ArrayList<>();
        for (ServerSpec server : directory.servers()) {
            boolean able = directory.mayOwn(server.id(), application.id()) && directory.isTrusted(server.id());
            if (able) {
                List<ShardId> shards = draft.shardsOf(server.id());
                List<ShardWork> loads = shards.stream()
                        .filter(s -> s.application().equals(application.id()))
                        .map(shardWorkEstimate(step, server.id(), shards)::of)
                        .toList();
                result.add(new ServerWork(server.id(), directory.weightOf(server), loads));
            }
        }
        return result;
    }

    private interface ShardWorkEstimate {
        ShardWork of(ShardId shard);
    }

    /** Known loads count as measured; the rest of a server's load is divided evenly over its other shards. */
    private ShardWorkEstimate shardWorkEstimate(StepContext step, ServerId server, List<ShardId> shards) {
        ServerLoad load = step.inputs().serverLoads().get(server);
        double meanPerShard = meanShardLoad(step);
        if (load == null || meanPerShard == 0) {
            return shard -> new ShardWork(shard, meanPerShard == 0 ? 1 : meanPerShard);
        }
        Map<ShardId, Double> known = new HashMap<>();
        for (ServerLoad.ShardLoad shard : load.hottestShards()) {
            if (draft.ownerOf(shard.shard())
                    .filter(o -> o.server().equals(server))
                    .isPresent()) {
                known.put(shard.shard(), shard.requestsPerSecond());
            }
        }
        double knownSum =
                known.values().stream().mapToDouble(Double::doubleValue).sum();
        double rest = Math.max(0, load.requestsPerSecond() - knownSum) / Math.max(1, shards.size() - known.size());
        double idle = BASE_SHARD_LOAD_RATIO * meanPerShard;
        return shard -> new ShardWork(shard, idle + known.getOrDefault(shard, rest));
    }

    /** Returns the mean load of a shard, 0 if there is hardly any load. */
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

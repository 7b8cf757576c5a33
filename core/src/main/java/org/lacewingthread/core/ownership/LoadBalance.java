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

/** Moves shards for balance: only if an imbalance lasts, and a bounded number a minute. */
final class LoadBalance {
    /** Time between two looks at the load, in which a move shows in it. */
    static final long LOOK_MILLIS = 10_000;

    private static final int LOOKS_TO_LAST = 2;
    private static final int LOOKS_PER_MINUTE = 6;
    private static final double MEASURED_REQUESTS_PER_SECOND = 1;
    private static final double IDLE_SHARD_RATIO = 0.1;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Map<ApplicationId, Integer> imbalancedLooks = new HashMap<>();
    private long nextLookMillis = Long.MIN_VALUE;

    LoadBalance(PlanDraft draft, ServerDirectory directory, ShardMoves moves) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
    }

    void step(Step step) {
        if (step.nowMillis() < nextLookMillis || !step.inputs().logReachable() || !step.predecessorGone()) {
            return;
        }
        nextLookMillis = step.nowMillis() + LOOK_MILLIS;
        for (ApplicationSpec application : directory.applications()) {
            look(step, application);
        }
    }

    private void look(Step step, ApplicationSpec application) {
        List<LoadedServer> work = work(step, application);
        BalancePolicy policy = new BalancePolicy(application.profile());
        boolean wasMoving = imbalancedLooks.getOrDefault(application.id(), 0) >= LOOKS_TO_LAST;
        boolean imbalanced = wasMoving ? policy.isBeyondTarget(work) : policy.isImbalanced(work);
        if (!imbalanced || moves.anyOf(application.id())) {
            imbalancedLooks.remove(application.id());
            return;
        }
        int looks = imbalancedLooks.merge(application.id(), 1, Integer::sum);
        if (looks < LOOKS_TO_LAST) {
            return;
        }
        int limit = Math.max(1, application.profile().maxMovesPerMinute() / LOOKS_PER_MINUTE);
        List<BalancePolicy.Move> chosen = policy.chooseMoves(work, limit);
        if (chosen.isEmpty()) {
            imbalancedLooks.remove(application.id());
        }
        chosen.forEach(m -> moves.move(step, m.shard(), Cause.BALANCE, Optional.of(m.to())));
    }

    /** Returns the servers that may own shards of an application, with their shards of it. */
    List<LoadedServer> work(Step step, ApplicationSpec application) {
        List<LoadedServer> result = new ArrayList<>();
        for (ServerSpec server : directory.servers()) {
            boolean able = directory.mayOwn(server.id(), application.id()) && directory.isTrusted(server.id());
            if (able) {
                List<ShardId> shards = draft.shardsOf(server.id());
                List<LoadedShard> loads = shards.stream()
                        .filter(s -> s.application().equals(application.id()))
                        .map(shardLoads(step, server.id(), shards)::of)
                        .toList();
                result.add(new LoadedServer(server.id(), directory.weightOf(server), loads));
            }
        }
        return result;
    }

    private interface ShardLoads {
        LoadedShard of(ShardId shard);
    }

    /** Known loads count as measured; the rest of a server's load is divided evenly over its other shards. */
    private ShardLoads shardLoads(Step step, ServerId server, List<ShardId> shards) {
        ServerLoad load = step.inputs().loads().get(server);
        double meanPerShard = meanPerShard(step);
        if (load == null || meanPerShard == 0) {
            return shard -> new LoadedShard(shard, meanPerShard == 0 ? 1 : meanPerShard);
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
        double idle = IDLE_SHARD_RATIO * meanPerShard;
        return shard -> new LoadedShard(shard, idle + known.getOrDefault(shard, rest));
    }

    /** Returns the mean load of a shard, 0 if there is hardly any load. */
    private double meanPerShard(Step step) {
        double total = 0;
        int shards = 0;
        for (ServerSpec server : directory.servers()) {
            ServerLoad load = step.inputs().loads().get(server.id());
            if (load != null) {
                total += load.requestsPerSecond();
                shards += draft.shardCountOf(server.id());
            }
        }
        return total < MEASURED_REQUESTS_PER_SECOND || shards == 0 ? 0 : total / shards;
    }
}

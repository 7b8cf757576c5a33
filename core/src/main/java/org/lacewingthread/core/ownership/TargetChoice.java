package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.core.placement.ShardPlacer;

/** Chooses the next owner of a shard and its failover list. */
final class TargetChoice {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final Map<ApplicationId, ShardPlacer> spreads = new HashMap<>();
    private final Map<ApplicationId, List<ShardPlacer.Candidate>> candidates = new HashMap<>();

    TargetChoice(PlanDraft draft, ServerDirectory directory) {
        this.draft = draft;
        this.directory = directory;
    }

    /** Forgets the spreads of the step before. */
    void refresh() {
        spreads.clear();
        candidates.clear();
    }

    /** Returns whether a shard could go to another server than its present one. */
    boolean hasAlternative(Step step, ShardId shard, ServerId source) {
        if (!step.inputs().logReachable()) {
            return alongFailoverList(step, shard, source).isPresent();
        }
        return candidates(shard.application()).stream()
                .anyMatch(c -> !c.server().equals(source));
    }

    private List<ShardPlacer.Candidate> candidates(ApplicationId application) {
        return candidates.computeIfAbsent(application, directory::candidates);
    }

    /** Returns the server that should own a shard next: along the failover list, else the best ranked. */
    Optional<ServerId> choose(Step step, ShardId shard, ServerId source) {
        Optional<ServerId> next = alongFailoverList(step, shard, source);
        if (next.isEmpty() && step.inputs().logReachable()) {
            next = spread(step, shard.application())
                    .chooseOwner(shard)
                    .filter(s -> !s.equals(source))
                    .or(() -> anyOther(shard, source));
        }
        next.ifPresent(s -> spread(step, shard.application()).countOwned(s));
        return next;
    }

    List<ServerId> failover(Step step, ShardId shard, ServerId owner) {
        return spread(step, shard.application()).chooseFailovers(shard, owner);
    }

    /** Returns whether a recorded failover list is short or names a server that may not own the shard. */
    boolean isFailoverOutdated(Step step, ShardId shard) {
        List<ServerId> failover = step.recorded(shard).orElseThrow().failover();
        int wanted = Math.min(
                ShardPlacer.FAILOVER_SERVERS, candidates(shard.application()).size() - 1);
        return failover.size() < wanted || failover.stream().anyMatch(s -> directory.mustLeave(s, shard.application()));
    }

    /** Returns the recorded owner and its failover list, in order. */
    static List<ServerId> recordedOrder(Step step, ShardId shard) {
        Optional<ShardAssignment> recorded = step.recorded(shard);
        List<ServerId> order = new ArrayList<>();
        recorded.ifPresent(a -> {
            order.add(a.owner());
            order.addAll(a.failover());
        });
        return order;
    }

    /** Returns the recorded owner and its failover list without a server. */
    static List<ServerId> failoverWithout(Step step, ShardId shard, ServerId server) {
        return recordedOrder(step, shard).stream()
                .filter(s -> !s.equals(server))
                .toList();
    }

    private Optional<ServerId> alongFailoverList(Step step, ShardId shard, ServerId source) {
        return recordedOrder(step, shard).stream()
                .filter(s -> !s.equals(source))
                .filter(s -> directory.mayOwn(s, shard.application()))
                .filter(s -> !step.inputs().logReachable() || directory.isTrusted(s))
                .findFirst();
    }

    private Optional<ServerId> anyOther(ShardId shard, ServerId source) {
        return candidates(shard.application()).stream()
                .map(ShardPlacer.Candidate::server)
                .filter(s -> !s.equals(source))
                .findFirst();
    }

    private ShardPlacer spread(Step step, ApplicationId application) {
        return spreads.computeIfAbsent(application, a -> build(step, a));
    }

    private ShardPlacer build(Step step, ApplicationId application) {
        ShardTable table = step.inputs().state().shardTables().get(application);
        ShardPlacer spread = new ShardPlacer(candidates(application), governedShards(step, application, table));
        if (table != null) {
            for (ShardTable.Entry entry : table.entries()) {
                if (entry != null && entry.assignment() != null) {
                    ShardAssignment assignment = entry.assignment();
                    spread.countFailover(assignment.owner(), assignment.failover());
                }
            }
        }
        for (ServerId server : draft.owningServers()) {
            draft.shardsOf(server).stream()
                    .filter(s -> s.application().equals(application))
                    .forEach(s -> spread.countOwned(server));
        }
        return spread;
    }

    /** Counts the shards that belong to this data centre, at least one. */
    private int governedShards(Step step, ApplicationId application, ShardTable table) {
        if (table == null) {
            return 1;
        }
        long homed = table.entries().stream()
                .filter(e -> e != null && step.inputs().dataCentre().equals(e.home()))
                .count();
        long unassigned = table.entries().stream()
                .filter(e -> e != null && e.home() == null)
                .count();
        return (int) Math.max(1, homed + Math.ceil(unassigned * directory.shareOfServers(application)));
    }
}

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

/** Selects the next owner of a shard and its failover list. */
final class TargetSelector {
    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final Map<ApplicationId, ShardPlacer> spreads = new HashMap<>();
    private final Map<ApplicationId, List<ShardPlacer.Candidate>> candidates = new HashMap<>();

    TargetSelector(PlanDraft draft, ServerDirectory directory) {
        this.draft = draft;
        this.directory = directory;
    }

    /** Clears the shard placers and candidates cached in the previous step. */
    void clearCaches() {
        spreads.clear();
        candidates.clear();
    }

    /** Returns whether a shard could move to a server other than the given one. */
    boolean hasAlternative(StepContext step, ShardId shard, ServerId excluded) {
        if (!step.inputs().logReachable()) {
            return nextRecordedServer(step, shard, excluded).isPresent();
        }
        return candidates(shard.application()).stream()
                .anyMatch(c -> !c.server().equals(excluded));
    }

    private List<ShardPlacer.Candidate> candidates(ApplicationId application) {
        return candidates.computeIfAbsent(application, directory::candidates);
    }

    /**
     * Returns the next owner of a shard: the next server of its failover list, else the highest-ranked candidate.
     *
     * @param excluded server that must not be the next owner, or null
     */
    Optional<ServerId> choose(StepContext step, ShardId shard, ServerId excluded) {
        Optional<ServerId> next = nextRecordedServer(step, shard, excluded);
        if (next.isEmpty() && step.inputs().logReachable()) {
            next = spreadOf(step, shard.application())
                    .chooseOwner(shard)
                    .filter(s -> !s.equals(excluded))
                    .or(() -> anyOtherCandidate(shard, excluded));
        }
        next.ifPresent(s -> spreadOf(step, shard.application()).countOwned(s));
        return next;
    }

    List<ServerId> failoverList(StepContext step, ShardId shard, ServerId owner) {
        return spreadOf(step, shard.application()).chooseFailovers(shard, owner);
    }

    /** Returns whether a recorded failover list is too short or contains a server that must hand over the shard. */
    boolean isFailoverOutdated(StepContext step, ShardId shard) {
        List<ServerId> failover = step.recordedAssignment(shard).orElseThrow().failover();
        int wanted = Math.min(
                ShardPlacer.FAILOVER_SERVERS, candidates(shard.application()).size() - 1);
        return failover.size() < wanted
                || failover.stream().anyMatch(s -> directory.mustHandOver(s, shard.application()));
    }

    /** Returns the recorded owner followed by the recorded failover list. */
    static List<ServerId> recordedServers(StepContext step, ShardId shard) {
        Optional<ShardAssignment> recorded = step.recordedAssignment(shard);
        List<ServerId> order = new ArrayList<>();
        recorded.ifPresent(a -> {
            order.add(a.owner());
            order.addAll(a.failover());
        });
        return order;
    }

    /** Returns the recorded owner and failover list without the given server. */
    static List<ServerId> recordedServersExcept(StepContext step, ShardId shard, ServerId server) {
        return recordedServers(step, shard).stream()
                .filter(s -> !s.equals(server))
                .toList();
    }

    private Optional<ServerId> nextRecordedServer(StepContext step, ShardId shard, ServerId excluded) {
        return recordedServers(step, shard).stream()
                .filter(s -> !s.equals(excluded))
                .filter(s -> directory.mayOwn(s, shard.application()))
                .filter(s -> !step.inputs().logReachable() || directory.isTrusted(s))
                .findFirst();
    }

    private Optional<ServerId> anyOtherCandidate(ShardId shard, ServerId excluded) {
        return candidates(shard.application()).stream()
                .map(ShardPlacer.Candidate::server)
                .filter(s -> !s.equals(excluded))
                .findFirst();
    }

    private ShardPlacer spreadOf(StepContext step, ApplicationId application) {
        return spreads.computeIfAbsent(application, a -> buildSpread(step, a));
    }

    private ShardPlacer buildSpread(StepContext step, ApplicationId application) {
        ShardTable table = step.inputs().state().shardTables().get(application);
        ShardPlacer spread = new ShardPlacer(candidates(application), governedShardCount(step, application, table));
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

    /**
     * Returns the number of shards that this data centre is responsible for, at least 1. Unassigned shards count in
     * proportion to the data centre's share of servers.
     */
    private int governedShardCount(StepContext step, ApplicationId application, ShardTable table) {
        if (table == null) {
            return 1;
        }
        long governed = table.entries().stream()
                .filter(e -> e != null && step.inputs().dataCentre().equals(e.home()))
                .count();
        long unassigned = table.entries().stream()
                .filter(e -> e != null && e.home() == null)
                .count();
        return (int) Math.max(1, governed + Math.ceil(unassigned * directory.localServerShare(application)));
    }
}

package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.config.RoutingConfiguration;
import org.lacewingthread.core.config.ServerSpec;
import org.lacewingthread.core.id.DataCentreId;
import org.lacewingthread.core.id.ServerId;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.LogRecord;
import org.lacewingthread.core.placement.HomeDataCentrePlacement;

/** Hands an application's shards to other data centres once none of its servers may stay in this one. */
final class DataCentreExit {
    private static final int SHARDS_AT_ONCE = 64;
    private static final long RETRY_MILLIS = 3_000;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Map<ShardId, Long> askedUntilMillis = new HashMap<>();

    DataCentreExit(PlanDraft draft, ServerDirectory directory, ShardMoves moves) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
    }

    /** Ends the service of shards that have to go, and returns the records that let others adopt them. */
    List<LogRecord> step(Step step) {
        if (!step.inputs().logReachable() || !step.predecessorGone()) {
            return List.of();
        }
        List<LogRecord> records = new ArrayList<>();
        for (ApplicationSpec application : directory.applications()) {
            RoutingConfiguration elsewhere = elsewhere(step, application);
            if (mustLeave(application) && !elsewhere.servers().isEmpty()) {
                endService(application);
                records.addAll(release(step, application, new HomeDataCentrePlacement(elsewhere, application)));
            }
        }
        return records;
    }

    private boolean mustLeave(ApplicationSpec application) {
        return directory.servers().stream().allMatch(s -> directory.mustLeave(s.id(), application.id()));
    }

    /** Returns the configuration with only those servers that may take the shards over. */
    private RoutingConfiguration elsewhere(Step step, ApplicationSpec application) {
        List<ServerSpec> servers = directory.configuration().eligibleServers(application).stream()
                .filter(s -> !s.dataCentre().equals(step.inputs().dataCentre()))
                .filter(s -> !step.inputs().state().drainingServers().contains(s.id()))
                .filter(s -> !step.inputs().state().roster(s.dataCentre()).isEmpty())
                .toList();
        return new RoutingConfiguration(List.of(application), servers);
    }

    private void endService(ApplicationSpec application) {
        moves.movingOf(application.id()).forEach(moves::leaveDataCentre);
        for (ServerId server : draft.owningServers()) {
            draft.shardsOf(server).stream()
                    .filter(s -> s.application().equals(application.id()) && !moves.isMoving(s))
                    .limit(SHARDS_AT_ONCE)
                    .forEach(moves::leaveDataCentre);
        }
    }

    private List<LogRecord> release(Step step, ApplicationSpec application, HomeDataCentrePlacement homes) {
        Map<DataCentreId, List<ShardId>> released = new TreeMap<>();
        for (ShardId shard : moves.handingOver()) {
            boolean due = askedUntilMillis.getOrDefault(shard, Long.MIN_VALUE) <= step.nowMillis();
            if (due && shard.application().equals(application.id()) && step.governs(step.entry(shard))) {
                Optional<DataCentreId> target = homes.homeOf(shard.index());
                target.ifPresent(
                        t -> released.computeIfAbsent(t, k -> new ArrayList<>()).add(shard));
                askedUntilMillis.put(shard, step.nowMillis() + RETRY_MILLIS);
            }
        }
        List<LogRecord> records = new ArrayList<>();
        released.forEach((target, shards) -> records.add(new LogRecord.ShardsReleased(
                step.inputs().dataCentre(), step.inputs().term(), target, shards)));
        return records;
    }
}

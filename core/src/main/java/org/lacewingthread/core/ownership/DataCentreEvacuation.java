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

/** Hands an application's shards to other data centres when no server of this data centre may own them any more. */
final class DataCentreEvacuation {
    private static final int MAX_SHARDS_PER_SERVER = 64;
    private static final long RETRY_MILLIS = 3_000;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Map<ShardId, Long> nextRequestMillis = new HashMap<>();

    DataCentreEvacuation(PlanDraft draft, ServerDirectory directory, ShardMoves moves) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
    }

    /** Stops serving shards that have to leave, and returns the records that let other data centres adopt them. */
    List<LogRecord> step(StepContext step) {
        if (!step.inputs().logReachable() || !step.predecessorLeasesExpired()) {
            return List.of();
        }
        List<LogRecord> records = new ArrayList<>();
        for (ApplicationSpec application : directory.applications()) {
            RoutingConfiguration remote = remoteConfiguration(step, application);
            if (mustEvacuate(application) && !remote.servers().isEmpty()) {
                stopServing(application);
                records.addAll(releaseRecords(step, application, new HomeDataCentrePlacement(remote, application)));
            }
        }
        return records;
    }

    private boolean mustEvacuate(ApplicationSpec application) {
        return directory.servers().stream().allMatch(s -> directory.mustHandOver(s.id(), application.id()));
    }

    /** Returns the configuration reduced to servers of other data centres that may adopt the shards. */
    private RoutingConfiguration remoteConfiguration(StepContext step, ApplicationSpec application) {
        List<ServerSpec> servers = directory.configuration().eligibleServers(application).stream()
                .filter(s -> !s.dataCentre().equals(step.inputs().dataCentre()))
                .filter(s -> !step.inputs().state().drainingServers().contains(s.id()))
                .filter(s -> !step.inputs().state().roster(s.dataCentre()).isEmpty())
                .toList();
        return new RoutingConfiguration(List.of(application), servers);
    }

    private void stopServing(ApplicationSpec application) {
        moves.movingShardsOf(application.id()).forEach(moves::evacuate);
        for (ServerId server : draft.owningServers()) {
            draft.shardsOf(server).stream()
                    .filter(s -> s.application().equals(application.id()) && !moves.isMoving(s))
                    .limit(MAX_SHARDS_PER_SERVER)
                    .forEach(moves::evacuate);
        }
    }

    private List<LogRecord> releaseRecords(
            StepContext step, ApplicationSpec application, HomeDataCentrePlacement homes) {
        Map<DataCentreId, List<ShardId>> released = new TreeMap<>();
        for (ShardId shard : moves.shardsAwaitingAdoption()) {
            boolean due = nextRequestMillis.getOrDefault(shard, Long.MIN_VALUE) <= step.nowMillis();
            if (due && shard.application().equals(application.id()) && step.isResponsibleFor(step.tableEntry(shard))) {
                Optional<DataCentreId> target = homes.homeOf(shard.index());
                target.ifPresent(
                        t -> released.computeIfAbsent(t, k -> new ArrayList<>()).add(shard));
                nextRequestMillis.put(shard, step.nowMillis() + RETRY_MILLIS);
            }
        }
        List<LogRecord> records = new ArrayList<>();
        released.forEach((target, shards) -> records.add(new LogRecord.ShardsReleased(
                step.inputs().dataCentre(), step.inputs().term(), target, shards)));
        return records;
    }
}

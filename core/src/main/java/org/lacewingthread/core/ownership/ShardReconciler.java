package org.lacewingthread.core.ownership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lacewingthread.core.config.ApplicationSpec;
import org.lacewingthread.core.control.ControlSettings;
import org.lacewingthread.core.id.ApplicationId;
import org.lacewingthread.core.id.LogOffset;
import org.lacewingthread.core.id.ShardId;
import org.lacewingthread.core.log.ShardAssignment;
import org.lacewingthread.core.log.ShardTable;
import org.lacewingthread.core.placement.HomeDataCentrePlacement;

/**
 * Starts serving shards of this data centre that no server serves, and abandons shards that it is no longer
 * responsible for.
 */
final class ShardReconciler {
    private static final long FULL_SCAN_INTERVAL_MILLIS = 5_000;
    /** Bounds the work of each step, which visits every move; further moves start when earlier ones have ended. */
    private static final int MAX_CONCURRENT_MOVES = 4_096;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Takeover takeover;
    private final ControlSettings settings;
    private final Map<ShardId, Long> adoptNotBeforeMillis = new HashMap<>();
    private final Map<ApplicationId, ShardTable> lastTables = new HashMap<>();
    private final Map<ApplicationId, HomeDataCentrePlacement> homes = new HashMap<>();
    private final Map<ApplicationId, List<ShardId>> shardIds = new HashMap<>();
    private LogOffset revision = LogOffset.NONE;
    private boolean takeoverWasOver;
    private long nextFullScanMillis = Long.MIN_VALUE;

    ShardReconciler(
            PlanDraft draft, ServerDirectory directory, ShardMoves moves, Takeover takeover, ControlSettings settings) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
        this.takeover = takeover;
        this.settings = settings;
    }

    /** Reconciles the shard tables that changed, and all of them every {@code FULL_SCAN_INTERVAL_MILLIS}. */
    void step(StepContext step) {
        boolean takeoverOver = takeover.isOver(step);
        boolean fullScan = takeoverOver != takeoverWasOver
                || step.nowMillis() >= nextFullScanMillis
                || !revision.equals(directory.revision());
        takeoverWasOver = takeoverOver;
        if (fullScan) {
            nextFullScanMillis = step.nowMillis() + FULL_SCAN_INTERVAL_MILLIS;
            revision = directory.revision();
            homes.clear();
        }
        for (ApplicationSpec application : directory.applications()) {
            ShardTable table = step.inputs().state().shardTables().get(application.id());
            if (table != null && (isChanged(application.id(), table) || fullScan)) {
                reconcile(step, application, table, takeoverOver);
            }
        }
    }

    /** Compares instances, because consecutive replica states share the instances of unchanged tables. */
    @SuppressWarnings("ReferenceEquality")
    private boolean isChanged(ApplicationId application, ShardTable table) {
        return lastTables.put(application, table) != table;
    }

    private void reconcile(StepContext step, ApplicationSpec application, ShardTable table, boolean mayAssign) {
        List<ShardId> shards = shardIdsOf(application.id(), table.entries().size());
        for (int index = 0; index < shards.size(); index++) {
            ShardTable.Entry entry = table.entries().get(index);
            ShardId shard = shards.get(index);
            boolean known = draft.hasOwner(shard) || moves.isMoving(shard);
            if (known) {
                reconcileKnown(step, shard, entry);
            } else if (entry != null && mayAssign && moves.count() < MAX_CONCURRENT_MOVES) {
                startServingIfOwn(step, application, shard, entry);
            }
        }
    }

    private void reconcileKnown(StepContext step, ShardId shard, ShardTable.Entry entry) {
        boolean governedHere = entry != null
                && (entry.home() == null
                        || step.isResponsibleFor(entry)
                        || step.inputs().dataCentre().equals(entry.adopter()));
        if (governedHere) {
            moves.ensureRecorded(step, shard);
        } else {
            moves.abandon(shard);
        }
    }

    private void startServingIfOwn(
            StepContext step, ApplicationSpec application, ShardId shard, ShardTable.Entry entry) {
        if (step.isResponsibleFor(entry)) {
            Optional<ShardAssignment> inForce =
                    takeover.assignmentInForce(step, shard).filter(a -> directory.isConfigured(a.owner()));
            moves.startServing(step, shard, inForce, takeover.grantNotBeforeMillis(step, shard.application()));
            return;
        }
        if (!step.inputs().logReachable()) {
            return;
        }
        boolean initial = entry.home() == null && isInitialHome(step, application, shard);
        if (initial || mayAdopt(step, shard, entry)) {
            moves.startServing(step, shard, Optional.empty(), takeover.grantNotBeforeMillis(step, shard.application()));
        }
    }

    /**
     * Returns whether this data centre may adopt a shard that another one released or an operator handed over: all
     * leases on it have expired.
     */
    private boolean mayAdopt(StepContext step, ShardId shard, ShardTable.Entry entry) {
        if (!step.inputs().dataCentre().equals(entry.adopter())) {
            adoptNotBeforeMillis.remove(shard);
            return false;
        }
        long longestMillis = Math.max(settings.dispatchLeaseMillis(), settings.serverLeaseMillis());
        long waitMillis = settings.lengthenedByClockMargin(settings.leaderLeaseMillis() + longestMillis)
                + settings.startByMillis();
        long fromMillis = adoptNotBeforeMillis.computeIfAbsent(shard, s -> step.nowMillis() + waitMillis);
        return step.nowMillis() >= fromMillis;
    }

    private boolean isInitialHome(StepContext step, ApplicationSpec application, ShardId shard) {
        return homes.computeIfAbsent(
                        application.id(), a -> new HomeDataCentrePlacement(directory.configuration(), application))
                .homeOf(shard.index())
                .filter(step.inputs().dataCentre()::equals)
                .isPresent();
    }

    private List<ShardId> shardIdsOf(ApplicationId application, int count) {
        List<ShardId> known = shardIds.computeIfAbsent(application, a -> new ArrayList<>());
        while (known.size() < count) {
            known.add(new ShardId(application, known.size()));
        }
        return known.subList(0, count);
    }
}

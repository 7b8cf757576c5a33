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

/** Finds shards of this data centre that nobody serves, and shards that it governs no longer. */
final class ShardSurvey {
    private static final long INTERVAL_MILLIS = 5_000;
    /** Bounds the moves that each step goes through; the rest start when some have ended. */
    private static final int MAX_MOVES = 4_096;

    private final PlanDraft draft;
    private final ServerDirectory directory;
    private final ShardMoves moves;
    private final Takeover takeover;
    private final ControlSettings settings;
    private final Map<ShardId, Long> adoptableFromMillis = new HashMap<>();
    private final Map<ApplicationId, ShardTable> surveyed = new HashMap<>();
    private final Map<ApplicationId, HomeDataCentrePlacement> homes = new HashMap<>();
    private final Map<ApplicationId, List<ShardId>> ids = new HashMap<>();
    private LogOffset revision = LogOffset.NONE;
    private boolean wasOver;
    private long nextMillis = Long.MIN_VALUE;

    ShardSurvey(
            PlanDraft draft, ServerDirectory directory, ShardMoves moves, Takeover takeover, ControlSettings settings) {
        this.draft = draft;
        this.directory = directory;
        this.moves = moves;
        this.takeover = takeover;
        this.settings = settings;
    }

    /** Goes through the shard tables that changed, and through all of them once in a while. */
    void step(Step step) {
        boolean over = takeover.isOver(step);
        boolean all = over != wasOver || step.nowMillis() >= nextMillis || !revision.equals(directory.revision());
        wasOver = over;
        if (all) {
            nextMillis = step.nowMillis() + INTERVAL_MILLIS;
            revision = directory.revision();
            homes.clear();
        }
        for (ApplicationSpec application : directory.applications()) {
            ShardTable table = step.inputs().state().shardTables().get(application.id());
            if (table != null && (isChanged(application.id(), table) || all)) {
                survey(step, application, table, over);
            }
        }
    }

    /** Replicas share unchanged tables between states, so that the instance tells. */
    @SuppressWarnings("ReferenceEquality")
    private boolean isChanged(ApplicationId application, ShardTable table) {
        return surveyed.put(application, table) != table;
    }

    private void survey(Step step, ApplicationSpec application, ShardTable table, boolean mayAssign) {
        List<ShardId> shards = idsOf(application.id(), table.entries().size());
        for (int index = 0; index < shards.size(); index++) {
            ShardTable.Entry entry = table.entries().get(index);
            ShardId shard = shards.get(index);
            boolean known = draft.serves(shard) || moves.isMoving(shard);
            if (known) {
                checkServed(step, shard, entry);
            } else if (entry != null && mayAssign && moves.count() < MAX_MOVES) {
                serveIfOwn(step, application, shard, entry);
            }
        }
    }

    private void checkServed(Step step, ShardId shard, ShardTable.Entry entry) {
        boolean ours = entry != null
                && (entry.home() == null
                        || step.governs(entry)
                        || step.inputs().dataCentre().equals(entry.adopter()));
        if (ours) {
            moves.ensureRecorded(step, shard);
        } else {
            moves.abandon(shard);
        }
    }

    private void serveIfOwn(Step step, ApplicationSpec application, ShardId shard, ShardTable.Entry entry) {
        if (step.governs(entry)) {
            Optional<ShardAssignment> standing =
                    takeover.standing(step, shard).filter(a -> directory.isPresent(a.owner()));
            moves.serve(step, shard, standing, takeover.grantsFromMillis(step, shard.application()));
            return;
        }
        if (!step.inputs().logReachable()) {
            return;
        }
        boolean first = entry.home() == null && isFirstHome(step, application, shard);
        if (first || mayAdopt(step, shard, entry)) {
            moves.serve(step, shard, Optional.empty(), takeover.grantsFromMillis(step, shard.application()));
        }
    }

    /** A shard that another data centre gave up, or that an operator handed over, waits for all its leases. */
    private boolean mayAdopt(Step step, ShardId shard, ShardTable.Entry entry) {
        if (!step.inputs().dataCentre().equals(entry.adopter())) {
            adoptableFromMillis.remove(shard);
            return false;
        }
        long longestMillis = Math.max(settings.dispatchLeaseMillis(), settings.serverLeaseMillis());
        long waitMillis = settings.lengthenedByClockMargin(settings.leaderLeaseMillis() + longestMillis)
                + settings.startByMillis();
        long fromMillis = adoptableFromMillis.computeIfAbsent(shard, s -> step.nowMillis() + waitMillis);
        return step.nowMillis() >= fromMillis;
    }

    private boolean isFirstHome(Step step, ApplicationSpec application, ShardId shard) {
        return homes.computeIfAbsent(
                        application.id(), a -> new HomeDataCentrePlacement(directory.configuration(), application))
                .homeOf(shard.index())
                .filter(step.inputs().dataCentre()::equals)
                .isPresent();
    }

    private List<ShardId> idsOf(ApplicationId application, int count) {
        List<ShardId> known = ids.computeIfAbsent(application, a -> new ArrayList<>());
        while (known.size() < count) {
            known.add(new ShardId(application, known.size()));
        }
        return known.subList(0, count);
    }
}
